package workerconn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/base"

	"github.com/valyala/fasthttp"
)

// Client sends requests to workers. A call that names a worker's life goes by
// the connections kept for it. Any other has a connection of its own: when it
// cannot be made, no byte left; once it is made, any loss may have run.
type Client struct {
	connect time.Duration
	pool    *pool
}

var _ base.Backends = (*Client)(nil)

// New makes a client that counts its connections. connect bounds the making of
// a connection; the other times of a connection are ratios to that bound.
func New(connect time.Duration, counters *base.Counters) *Client {
	return &Client{connect: connect, pool: newPool(connect, counters)}
}

// Forget closes the idle connections kept for a worker's life.
func (c *Client) Forget(worker string) { c.pool.forget(worker) }

// singleReply is the answer under way on a connection of its own. The context's
// end and Close both shut the connection, which ends a waiting read.
type singleReply struct {
	response *fasthttp.Response
	plain    net.Conn
	reader   *bufio.Reader
	timer    *time.Timer
	reading  sync.Mutex
	closed   atomic.Bool
	release  sync.Once
}

// read runs one reading. Close may come from another task meanwhile; the
// client's own state is let go only when nobody reads.
func (r *singleReply) read(reading func() error) error {
	r.reading.Lock()
	err := reading()
	r.reading.Unlock()
	if r.closed.Load() {
		r.letGo()
	}
	return err
}

func (r *singleReply) letGo() {
	if !r.reading.TryLock() {
		return // whoever reads lets go after
	}
	defer r.reading.Unlock()
	r.release.Do(func() {
		if stream, ok := r.response.BodyStream().(fasthttp.ReadCloserWithError); ok {
			_ = stream.CloseWithError(net.ErrClosed)
		}
	})
}

// Call sends a request and gives its answer's head. An error wraps
// base.NotSent only when no byte of the request left.
func (c *Client) Call(ctx *base.Ctx, addr string, request *base.BackRequest) (base.BackReply, error) {
	if request.Worker != "" {
		return c.pool.call(ctx, addr, request)
	}
	return c.callOnce(ctx, addr, request)
}

// callOnce uses a connection for one request only.
func (c *Client) callOnce(ctx *base.Ctx, addr string, request *base.BackRequest) (base.BackReply, error) {
	left := ctx.Left()
	plain, err := net.DialTimeout("tcp", addr, min(left, c.connect))
	if err != nil {
		return nil, &base.NotSent{Cause: err}
	}
	used := false
	client := &fasthttp.HostClient{Addr: addr, StreamResponseBody: true, MaxConns: 1, MaxIdemponentCallAttempts: 1,
		MaxIdleConnDuration:      50 * time.Millisecond,
		NoDefaultUserAgentHeader: true, ReadBufferSize: 16 << 10,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(string) (net.Conn, error) {
			if used {
				return nil, errors.New("a call has one connection")
			}
			used = true
			return plain, nil
		}}
	outgoing, response := fasthttp.AcquireRequest(), &fasthttp.Response{}
	defer fasthttp.ReleaseRequest(outgoing)
	outgoing.Header.SetMethod(request.Method)
	outgoing.SetRequestURI("http://" + addr + request.Path)
	for _, name := range base.SortedKeys(request.Header) {
		outgoing.Header.Set(name, request.Header[name])
	}
	outgoing.SetBody(request.Body)
	timer := time.AfterFunc(left, func() { _ = plain.Close() })
	response.StreamBody = true
	if err := client.Do(outgoing, response); err != nil {
		timer.Stop()
		_ = plain.Close()
		return nil, err
	}
	reply := &singleReply{response: response, plain: plain, timer: timer}
	if stream := response.BodyStream(); stream != nil {
		reply.reader = bufio.NewReaderSize(stream, 64<<10)
	} else {
		reply.reader = bufio.NewReader(bytes.NewReader(response.Body()))
	}
	return reply, nil
}

// Status is the answer's status.
func (r *singleReply) Status() int { return r.response.StatusCode() }

// Header is one header of the answer.
func (r *singleReply) Header(name string) string { return string(r.response.Header.Peek(name)) }

// EachHeader walks all header lines.
func (r *singleReply) EachHeader(visit func(name, value []byte)) {
	for name, value := range r.response.Header.All() {
		visit(name, value)
	}
}

// Closes tells that the worker will close the connection.
func (r *singleReply) Closes() bool { return r.response.ConnectionClose() }

// Line gives the next line of the body with its end; io.EOF at a clean end.
func (r *singleReply) Line(limit time.Duration) ([]byte, error) {
	var line []byte
	err := r.read(func() (err error) {
		_ = r.plain.SetReadDeadline(after(limit))
		line, err = r.reader.ReadBytes('\n')
		return err
	})
	if err != nil {
		return nil, err
	}
	return line, nil
}

// Body gives the whole body.
func (r *singleReply) Body(limit time.Duration, most int) ([]byte, error) {
	length := r.response.Header.ContentLength()
	if length == lengthByClose {
		return nil, errLength
	}
	var body []byte
	err := r.read(func() (err error) {
		_ = r.plain.SetReadDeadline(after(limit))
		body, err = io.ReadAll(io.LimitReader(r.reader, int64(most)+1))
		return err
	})
	switch {
	case err != nil:
		return nil, err
	case len(body) > most:
		return nil, errors.New("an answer of more than " + strconv.Itoa(most) + " bytes")
	case length >= 0 && len(body) != length:
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// Close ends the exchange; it may be called from another task.
func (r *singleReply) Close() {
	r.timer.Stop()
	_ = r.plain.Close()
	r.closed.Store(true)
	r.letGo()
}
