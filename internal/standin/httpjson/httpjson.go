// Package httpjson holds helpers for the HTTP handlers of the stand-ins.
package httpjson

import (
	"encoding/json"
	"net/http"
)

// Write sends a response with status 200 and v as its JSON body.
func Write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes the JSON body of r into a value of type T. If that fails, it responds with status
// 400 and returns false.
func Read[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return v, false
	}

	return v, true
}
