// How a caller reaches a gateway, and the answer that it gets.

package standin

import "fordseam/internal/base"

// Event is one server-sent event as a caller reads it.
type Event struct {
	ID   string
	Kind string
	Data []byte
}

// Response is a response as a caller reads it: whole, or events one by one.
// NextEvent gives ok=false at the end of the stream.
type Response struct {
	Status    int
	Header    map[string]string
	Body      []byte
	NextEvent func() (Event, bool)
}

// RequestFunc sends a request to a gateway, by number; an error says that the
// gateway could not be reached or its answer was lost.
type RequestFunc func(gateway int, method, path string, header map[string]string, body []byte) (*Response, error)

type failure struct {
	Error struct {
		Code       string         `json:"code"`
		Message    string         `json:"message"`
		Ran        base.Execution `json:"request"`
		RetryAfter int            `json:"retry_after_s"`
	} `json:"error"`
}
