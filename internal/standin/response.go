package standin

import "fordseam/internal/base"

// Event is a server-sent event of a response.
type Event struct {
	ID   string
	Kind string
	Data []byte
}

// Response is a gateway's response. A streamed response has NextEvent, which
// returns the next event, or false at the end of the stream; any other has Body.
type Response struct {
	Status    int
	Header    map[string]string
	Body      []byte
	NextEvent func() (Event, bool)
}

// RequestFunc sends a request to the gateway with the given index. It returns an
// error if the gateway could not be reached or its response was lost.
type RequestFunc func(gateway int, method, path string, header map[string]string, body []byte) (*Response, error)

// errorResponse is the body of a response with an error status.
type errorResponse struct {
	Error struct {
		Code       string         `json:"code"`
		Message    string         `json:"message"`
		Ran        base.Execution `json:"request"`
		RetryAfter int            `json:"retry_after_s"`
	} `json:"error"`
}
