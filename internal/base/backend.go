package base

import (
	"time"

	"github.com/juju/errors"
)

var (
	// ErrConnectionLimit reports that the worker already has as many open
	// connections as it may have.
	ErrConnectionLimit = errors.New("the connection limit of the worker is reached")
	// ErrDraining reports that the worker gets no new requests.
	ErrDraining = errors.New("the worker gets no new requests")
)

// HeaderLine is one header line.
type HeaderLine struct{ Name, Value string }

// MemoryLease counts the bytes that are held of a body as they arrive. A nil *memory.Lease is one
// without a bound.
type MemoryLease interface {
	// Grow adds bytes to what is held. After an error what is held is unchanged.
	Grow(bytes int) error
	Shrink(bytes int)
	// MarkProgress records that the body has grown.
	MarkProgress()
}

// UnboundedMemory is a MemoryLease without a bound.
type UnboundedMemory struct{}

// Grow does nothing.
func (UnboundedMemory) Grow(int) error { return nil }

// Shrink does nothing.
func (UnboundedMemory) Shrink(int) {}

// MarkProgress does nothing.
func (UnboundedMemory) MarkProgress() {}

// BackendRequest is an HTTP request to a worker.
type BackendRequest struct {
	Method string
	Path   string // path and query, sent byte for byte
	Header map[string]string
	Body   []byte

	// Host is sent unchanged as the Host header; if empty, the address is sent.
	Host string
	// HeaderLines are sent in order, after Header.
	HeaderLines []HeaderLine
	// Incarnation identifies one run of the worker process. Only the idle
	// connections kept for it are reused. If empty, the request gets a
	// connection of its own.
	Incarnation string
	// EchoedHeader is a header that the response must repeat: a response
	// without it belongs to another request.
	EchoedHeader HeaderLine
	// MaxConns limits the open connections to this worker; 0 means no limit.
	MaxConns int
	// ConnectTimeout limits connecting; 0 means the default.
	ConnectTimeout time.Duration
	// Memory counts what is held of the response while it is read; nil sets no bound. The body
	// that ReadBody returns stays counted.
	Memory MemoryLease
	// MayEndWithConnection accepts a body without a length, which ends with the connection. The
	// caller must notice if it was truncated.
	MayEndWithConnection bool
	// ConfirmSend is called just before the first byte is sent; if it returns
	// false, the request is not sent.
	ConfirmSend func() bool
}

// BackendReply is a worker's response while it is being received.
type BackendReply interface {
	Status() int
	Header(name string) string
	// EachHeader calls visit for every header line. The slices are valid only
	// during the call.
	EachHeader(visit func(name, value []byte))
	// ClosesConnection reports whether the worker closes the connection after
	// this response.
	ClosesConnection() bool
	// ReadLine returns the next line of the body, or io.EOF after a complete
	// body. The line is valid until the next call.
	ReadLine(timeout time.Duration) ([]byte, error)
	// ReadBody returns the whole body, of at most maxBytes.
	ReadBody(timeout time.Duration, maxBytes int) ([]byte, error)
	// Close ends the exchange. It may be called from another task and makes a
	// pending ReadLine return.
	Close()
}

// BackendClient sends requests to model and application workers, one HTTP
// exchange per call.
type BackendClient interface {
	// Call sends the request and waits for the head of the response. An error
	// wraps NotSent only if it is certain that no byte of the request was sent.
	Call(ctx *Ctx, addr string, request *BackendRequest) (BackendReply, error)
	// DropIdle closes the idle connections kept for an incarnation of a worker.
	DropIdle(incarnation string)
}
