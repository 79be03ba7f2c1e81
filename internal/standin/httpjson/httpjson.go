// Package httpjson holds the few helpers that the stand-ins' HTTP handlers
// share.
package httpjson

import (
	"encoding/json"
	"net/http"
)

// Write sends v as the JSON body of an answer with status 200.
func Write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes the body of r into a value of type T. When it cannot, it
// answers with status 400 and returns false.
func Read[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return v, false
	}

	return v, true
}
