// BackendClient is the way to model and application workers: one HTTP exchange a
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
	// ErrConnectionLimit says that a worker has as many connections as it may.
	ErrConnectionLimit = errors.New("all of the worker's connections are taken")
	// ErrDraining says that the worker gets nothing more.
	ErrDraining = errors.New("the worker gets nothing more")
)

// HeaderLine is one header line.
type HeaderLine struct{ Name, Value string }

type BackendRequest struct {
	Method string
	Path   string // path and query, sent byte for byte
	Header map[string]string
	Body   []byte

	// Host is sent as it stands; the address's own when empty.
	Host string
	// HeaderLines are sent in order, after Header.
	HeaderLines []HeaderLine
	// Incarnation is the worker's life whose kept connections may be used.
	Incarnation string
	// EchoedHeader is a header that the answer must carry back: an answer without it
	// belongs to another request.
	EchoedHeader HeaderLine
	// MaxConns bounds the open connections to this worker; 0 for no bound.
	MaxConns int
	// ConnectTimeout bounds the making of a connection; 0 for the usual bound.
	ConnectTimeout time.Duration
	// ConfirmSend is asked just before the first byte leaves; when it says no, the
	// request is not sent.
	ConfirmSend func() bool
}

// BackendReply is a worker's reply under way. Line gives io.EOF at a clean end;
// Close may be called from another task and ends a waiting Line.
type BackendReply interface {
	Status() int
	Header(name string) string
	// EachHeader walks all header lines; the bytes are good only meanwhile.
	EachHeader(visit func(name, value []byte))
	// ClosesConnection tells that the worker will not keep the connection.
	ClosesConnection() bool
	ReadLine(limit time.Duration) ([]byte, error)
	ReadBody(limit time.Duration, most int) ([]byte, error)
	Close()
}

type BackendClient interface {
	Call(ctx *Ctx, addr string, request *BackendRequest) (BackendReply, error)
	// DropIdle drops the idle connections kept for a worker's life.
	DropIdle(worker string)
}
