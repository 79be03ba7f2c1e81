package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/slatebridge/slatebridge/internal/standin/httpjson"
)

// Handler returns the HTTP handler of the log: appends, reads and the injection of faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.serveRead)
	mux.HandleFunc("PUT /v1/faults", s.serveFaults)

	return mux
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil || !json.Valid(data) {
		http.Error(w, "the record is not JSON", http.StatusBadRequest)

		return
	}
	offset, err := s.Append(r.Context(), r.PathValue("stream"), data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)

		return
	}
	httpjson.Write(w, struct {
		Offset int64 `json:"offset"`
	}{offset})
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a number", http.StatusBadRequest)

		return
	}
	wait, err := time.ParseDuration(r.FormValue("wait"))
	if err != nil {
		http.Error(w, "wait is not a duration", http.StatusBadRequest)

		return
	}
	b, err := s.Read(r.Context(), r.PathValue("stream"), from, wait)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)

		return
	}
	httpjson.Write(w, b)
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	f, ok := httpjson.Read[Faults](w, r)
	if !ok {
		return
	}
	s.SetFaults(f)
}
