// Backends is the way to model and application workers: one HTTP exchange a
// call. Without a worker's id a call has a connection of its own; with one, a
// connection kept for that worker's life may carry it. Either way an error
// wraps NotSent only when it is certain that no byte of the request left. A
// reply's body is read line by line as it comes, or whole.

package base

import (
	"time"

	"github.com/juju/errors"
)

var (
	// ErrNoConnection says that a worker has as many connections as it may.
	ErrNoConnection = errors.New("all of the worker's connections are taken")
	// ErrLeaves says that the worker gets nothing more.
	ErrLeaves = errors.New("the worker gets nothing more")
)

// HeaderLine is one header line.
type HeaderLine struct{ Name, Value string }

type BackRequest struct {
	Method string
	Path   string // path and query, sent byte for byte
	Header map[string]string
	Body   []byte

	// Host is sent as it stands; the address's own when empty.
	Host string
	// Lines are sent in order, after Header.
	Lines []HeaderLine
	// Worker is the worker's life whose kept connections may be used.
	Worker string
	// Match is a header that the answer must carry back: an answer without it
	// belongs to another request.
	Match HeaderLine
	// MostConns bounds the open connections to this worker; 0 for no bound.
	MostConns int
	// Connect bounds the making of a connection; 0 for the usual bound.
	Connect time.Duration
	// Stays is asked just before the first byte leaves; when it says no, the
	// request is not sent.
	Stays func() bool
}

// BackReply is a worker's reply under way. Line gives io.EOF at a clean end;
// Close may be called from another task and ends a waiting Line.
type BackReply interface {
	Status() int
	Header(name string) string
	// EachHeader walks all header lines; the bytes are good only meanwhile.
	EachHeader(visit func(name, value []byte))
	// Closes tells that the worker will not keep the connection.
	Closes() bool
	Line(limit time.Duration) ([]byte, error)
	Body(limit time.Duration, most int) ([]byte, error)
	Close()
}

type Backends interface {
	Call(ctx *Ctx, addr string, request *BackRequest) (BackReply, error)
	// Forget drops the idle connections kept for a worker's life.
	Forget(worker string)
}
