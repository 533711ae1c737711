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
	"fordseam/internal/tcp"

	"github.com/valyala/fasthttp"
)

// Client sends requests to workers. A request that names a worker incarnation
// uses the pooled connections of that incarnation. Any other request gets a
// connection of its own: if dialing fails, no byte of the request was sent; after
// any later failure, the worker may have run it.
type Client struct {
	dialTimeout time.Duration
	pool        *pool
}

var _ base.BackendClient = (*Client)(nil)

// New returns a client that counts its connections in counters. All other
// timeouts of a connection are derived from dialTimeout.
func New(dialTimeout time.Duration, counters *base.Counters) *Client {
	return &Client{dialTimeout: dialTimeout, pool: newPool(dialTimeout, counters)}
}

// DropIdle closes the idle connections of a worker incarnation.
func (c *Client) DropIdle(worker string) { c.pool.forget(worker) }

// unpooledReply is a reply on a connection used for one request only. Both the
// deadline of the call and Close close the connection, which unblocks a read.
type unpooledReply struct {
	response    *fasthttp.Response
	conn        net.Conn
	reader      *bufio.Reader
	timer       *time.Timer
	readMu      sync.Mutex
	closed      atomic.Bool
	releaseOnce sync.Once
}

// read runs fn, which reads from the body. Close may be called concurrently; the
// body is then released after fn has returned.
func (r *unpooledReply) read(fn func() error) error {
	r.readMu.Lock()
	err := fn()
	r.readMu.Unlock()
	if r.closed.Load() {
		r.releaseBody()
	}
	return err
}

// releaseBody closes the body stream once, unless a read is in progress, which
// then does so itself.
func (r *unpooledReply) releaseBody() {
	if !r.readMu.TryLock() {
		return // the reader releases it afterwards
	}
	defer r.readMu.Unlock()
	r.releaseOnce.Do(func() {
		if stream, ok := r.response.BodyStream().(fasthttp.ReadCloserWithError); ok {
			_ = stream.CloseWithError(net.ErrClosed)
		}
	})
}

// Call sends a request and returns once the head of the response was read. An
// error wraps base.NotSent only if no byte of the request was sent.
func (c *Client) Call(ctx *base.Ctx, addr string, request *base.BackendRequest) (base.BackendReply, error) {
	if request.Incarnation != "" {
		return c.pool.call(ctx, addr, request)
	}
	return c.callUnpooled(ctx, addr, request)
}

// callUnpooled sends a request on a connection that is used for it only.
func (c *Client) callUnpooled(ctx *base.Ctx, addr string, request *base.BackendRequest) (base.BackendReply, error) {
	timeout := ctx.Remaining()
	netConn, err := tcp.NewDialer(min(timeout, c.dialTimeout)).Dial("tcp", addr)
	if err != nil {
		return nil, &base.NotSent{Cause: err}
	}
	dialed := false
	httpClient := &fasthttp.HostClient{Addr: addr, StreamResponseBody: true, MaxConns: 1, MaxIdemponentCallAttempts: 1,
		MaxIdleConnDuration:      50 * time.Millisecond,
		NoDefaultUserAgentHeader: true, ReadBufferSize: 16 << 10,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(string) (net.Conn, error) {
			if dialed {
				return nil, errors.New("an unpooled call may dial only once")
			}
			dialed = true
			return netConn, nil
		}}
	httpRequest, response := fasthttp.AcquireRequest(), &fasthttp.Response{}
	defer fasthttp.ReleaseRequest(httpRequest)
	httpRequest.Header.SetMethod(request.Method)
	httpRequest.SetRequestURI("http://" + addr + request.Path)
	for _, name := range base.SortedKeys(request.Header) {
		httpRequest.Header.Set(name, request.Header[name])
	}
	httpRequest.SetBody(request.Body)
	timer := time.AfterFunc(timeout, func() { _ = netConn.Close() })
	response.StreamBody = true
	if err := httpClient.Do(httpRequest, response); err != nil {
		timer.Stop()
		_ = netConn.Close()
		return nil, err
	}
	reply := &unpooledReply{response: response, conn: netConn, timer: timer}
	if stream := response.BodyStream(); stream != nil {
		reply.reader = bufio.NewReaderSize(stream, 64<<10)
	} else {
		reply.reader = bufio.NewReader(bytes.NewReader(response.Body()))
	}
	return reply, nil
}

// Status returns the response's status code.
func (r *unpooledReply) Status() int { return r.response.StatusCode() }

// Header returns the value of a response header.
func (r *unpooledReply) Header(name string) string { return string(r.response.Header.Peek(name)) }

// EachHeader calls visit for every header line.
func (r *unpooledReply) EachHeader(visit func(name, value []byte)) {
	for name, value := range r.response.Header.All() {
		visit(name, value)
	}
}

// ClosesConnection reports whether the worker will close the connection.
func (r *unpooledReply) ClosesConnection() bool { return r.response.ConnectionClose() }

// ReadLine returns the next line of the body including its line ending, and io.EOF
// after a complete body.
func (r *unpooledReply) ReadLine(timeout time.Duration) ([]byte, error) {
	var line []byte
	err := r.read(func() (err error) {
		_ = r.conn.SetReadDeadline(deadlineIn(timeout))
		line, err = r.reader.ReadBytes('\n')
		return err
	})
	if err != nil {
		return nil, err
	}
	return line, nil
}

// ReadBody returns the whole body, which may not exceed maxBytes.
func (r *unpooledReply) ReadBody(timeout time.Duration, maxBytes int) ([]byte, error) {
	length := r.response.Header.ContentLength()
	if length == lengthUntilClose {
		return nil, errNoLength
	}
	var body []byte
	err := r.read(func() (err error) {
		_ = r.conn.SetReadDeadline(deadlineIn(timeout))
		body, err = io.ReadAll(io.LimitReader(r.reader, int64(maxBytes)+1))
		return err
	})
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxBytes:
		return nil, errors.New("the response body is longer than " + strconv.Itoa(maxBytes) + " bytes")
	case length >= 0 && len(body) != length:
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// Close ends the exchange. It may be called from another goroutine.
func (r *unpooledReply) Close() {
	r.timer.Stop()
	_ = r.conn.Close()
	r.closed.Store(true)
	r.releaseBody()
}
