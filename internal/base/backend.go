// Backends is the way to model and application workers: one HTTP exchange a
// call, on a connection of its own, so that a failed connect proves that no
// byte left. A reply's body is read line by line as it comes.
package base

import "time"

type BackRequest struct {
	Method string
	Path   string
	Header map[string]string
	Body   []byte
}

// BackReply is a worker's reply under way. Line gives io.EOF at a clean end;
// Close may be called from another task and ends a waiting Line.
type BackReply interface {
	Status() int
	Header(name string) string
	// Closes tells that the worker will not keep the connection.
	Closes() bool
	Line(limit time.Duration) ([]byte, error)
	Body(limit time.Duration, most int) ([]byte, error)
	Close()
}

type Backends interface {
	Call(ctx *Ctx, addr string, request *BackRequest) (BackReply, error)
}
