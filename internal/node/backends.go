// Back ends over fasthttp. A call that names a worker's life goes by the
// connections kept for it. Any other has a connection of its own: when it
// cannot be made, no byte left; once it is made, any loss may have run. The
// visit's end and Close both shut the connection, which ends a waiting read.

package node

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

type backends struct {
	connect time.Duration
	kept    *kept
}

// NewBackends bounds the making of a connection; the other times of a
// connection are ratios to that bound.
func NewBackends(connect time.Duration) base.Backends {
	return NewCountedBackends(connect, base.NewCounters())
}

// NewCountedBackends also counts connections.
func NewCountedBackends(connect time.Duration, counters *base.Counters) base.Backends {
	return &backends{connect, newKept(connect, counters)}
}

func (b *backends) Forget(worker string) { b.kept.Forget(worker) }

// after is a moment for a socket's deadline.
func after(limit time.Duration) time.Time { return time.Now().Add(limit) }

type backReply struct {
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
func (r *backReply) read(reading func() error) error {
	r.reading.Lock()
	err := reading()
	r.reading.Unlock()
	if r.closed.Load() {
		r.letGo()
	}
	return err
}

func (r *backReply) letGo() {
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

func (b *backends) Call(ctx *base.Ctx, addr string, request *base.BackRequest) (base.BackReply, error) {
	if request.Worker != "" {
		return b.kept.call(ctx, addr, request)
	}
	left := ctx.Left()
	plain, err := net.DialTimeout("tcp", addr, min(left, b.connect))
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
				return nil, errors.New("a leg has one connection")
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
	reply := &backReply{response: response, plain: plain, timer: timer}
	if stream := response.BodyStream(); stream != nil {
		reply.reader = bufio.NewReaderSize(stream, 64<<10)
	} else {
		reply.reader = bufio.NewReader(bytes.NewReader(response.Body()))
	}
	return reply, nil
}

func (r *backReply) Status() int               { return r.response.StatusCode() }
func (r *backReply) Header(name string) string { return string(r.response.Header.Peek(name)) }

func (r *backReply) EachHeader(visit func(name, value []byte)) {
	for name, value := range r.response.Header.All() {
		visit(name, value)
	}
}

func (r *backReply) Closes() bool { return r.response.ConnectionClose() }

func (r *backReply) Line(limit time.Duration) ([]byte, error) {
	var line []byte
	err := r.read(func() (err error) {
		_ = r.plain.SetReadDeadline(time.Now().Add(limit))
		line, err = r.reader.ReadBytes('\n')
		return err
	})
	if err != nil {
		return nil, err
	}
	return line, nil
}

func (r *backReply) Body(limit time.Duration, most int) ([]byte, error) {
	length := r.response.Header.ContentLength()
	if length == -2 {
		return nil, errors.New("an answer without a length cannot be told from a cut one")
	}
	var body []byte
	err := r.read(func() (err error) {
		_ = r.plain.SetReadDeadline(time.Now().Add(limit))
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

func (r *backReply) Close() {
	r.timer.Stop()
	_ = r.plain.Close()
	r.closed.Store(true)
	r.letGo()
}
