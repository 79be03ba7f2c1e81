package result

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ProblemType is the media type of RFC 9457 problem details. The problem type in the sense of the
// RFC is Problem.Type.
const ProblemType = "application/problem+json"

// Problem is the RFC 9457 response body that reports an Error.
type Problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail,omitempty"`
	Code      Code            `json:"code"`
	Execution ExecutionStatus `json:"ran"`
}

// NewProblem returns the response body that reports e.
func NewProblem(e *Error) Problem {
	def := e.Code.Definition()

	return Problem{
		Type:      "urn:slatebridge:result:" + strconv.Itoa(int(e.Code)),
		Title:     def.Text,
		Status:    def.Status,
		Detail:    e.Detail,
		Code:      e.Code,
		Execution: e.Execution,
	}
}

// WriteProblem writes e as the complete response to a request, with its status and headers.
func WriteProblem(w http.ResponseWriter, e *Error) {
	p := NewProblem(e)
	w.Header().Set("Content-Type", ProblemType)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	w.WriteHeader(p.Status)
	// A failed write means that the caller has disconnected, so there is no one to report it to.
	_ = json.NewEncoder(w).Encode(p)
}

func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
