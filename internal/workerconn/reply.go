package workerconn

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

const (
	maxHeaderBytes    = 8 << 10 // of a response's head
	lineBufferSize    = 4 << 10 // buffer of the line reader
	maxForeignReplies = 2       // responses to other requests that are skipped
	// lengthUntilClose is the ContentLength that fasthttp reports for a body that
	// ends only when the connection is closed.
	lengthUntilClose = -2
)

var (
	errForeign  = errors.New("the response belongs to another request")
	errClosed   = errors.New("the reply is closed")
	errNoLength = errors.New("the response has no length, so a truncated body cannot be detected")
)

// wasClosed reports whether an error means that the peer closed or reset the
// connection, as opposed to a timeout.
func wasClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// receiveHead reads the head of the response to the request, skipping responses
// to other requests.
func (p *pool) receiveHead(c *conn, request *base.BackendRequest) (*pooledReply, error) {
	reply := newPooledReply(p, c, request)
	response := &reply.response
	response.StreamBody = true
	response.SkipBody = request.Method == fasthttp.MethodHead
	for {
		if err := response.ReadLimitBody(c.reader, 0); err != nil {
			return nil, err
		}
		if p.matches(request, string(response.Header.Peek(request.EchoedHeader.Name))) {
			break
		}
		if err := reply.skipForeign(); err != nil {
			return nil, err
		}
	}
	c.apply(eventReplyHead)
	p.counters.Add("worker_replies_open", 1)
	reply.length = response.Header.ContentLength()
	if stream := response.BodyStream(); stream != nil {
		reply.body = meteredBody{stream, c.metered}
	} else {
		reply.finish()
	}
	return reply, nil
}

func newPooledReply(p *pool, c *conn, request *base.BackendRequest) *pooledReply {
	lease := request.Memory
	if lease == nil {
		lease = base.UnboundedMemory{}
	}
	return &pooledReply{pool: p, conn: c, memory: lease, line: lineBuffer{memory: lease}, mayEndWithConnection: request.MayEndWithConnection}
}

// skipForeign skips a response to an earlier request; the expected one may follow
// it. The connection is not reused afterwards.
func (r *pooledReply) skipForeign() error {
	body := r.response.BodyStream()
	if r.foreignReplies++; r.foreignReplies > maxForeignReplies || r.ClosesConnection() || body == nil {
		return errForeign
	}
	if read, err := io.Copy(io.Discard, io.LimitReader(body, maxInlineBody)); err != nil || read == maxInlineBody {
		return errForeign
	}
	r.response.Reset()
	r.response.StreamBody = true
	return nil
}

// pooledReply is a reply on a pooled connection.
type pooledReply struct {
	pool           *pool
	conn           *conn
	response       fasthttp.Response
	body           io.Reader
	length         int
	lineReaderSet  bool
	line           lineBuffer
	foreignReplies int
	// memory counts what is held of the body; mayEndWithConnection accepts one without a length.
	memory               base.MemoryLease
	mayEndWithConnection bool

	endErr error // what reads return once the body's end was reached
	state  atomic.Int32
}

// The states of a reply: whether the body's end or Close came first.
const (
	replyOpen int32 = iota
	replyFinished
	replyClosed
)

// Status returns the response's status code.
func (r *pooledReply) Status() int { return r.response.StatusCode() }

// Header returns the value of a response header.
func (r *pooledReply) Header(name string) string { return string(r.response.Header.Peek(name)) }

// ClosesConnection reports whether the worker will close the connection.
func (r *pooledReply) ClosesConnection() bool { return r.response.ConnectionClose() }

// EachHeader calls visit for every header line.
func (r *pooledReply) EachHeader(visit func(name, value []byte)) {
	for name, value := range r.response.Header.All() {
		visit(name, value)
	}
}

// finish is called at the body's end. It returns the connection to the pool, or
// closes it if it cannot carry another request.
func (r *pooledReply) finish() {
	r.endErr = io.EOF
	if r.length == lengthUntilClose && r.body != nil {
		r.endErr = io.ErrUnexpectedEOF
	}
	if !r.state.CompareAndSwap(replyOpen, replyFinished) {
		return
	}
	r.countReceived()
	c := r.conn
	end := replyEnd{clean: r.endErr == io.EOF, closing: r.ClosesConnection(), upgraded: r.Status() == fasthttp.StatusSwitchingProtocols,
		foreignReplies: r.foreignReplies, trailingBytes: c.reader.Buffered()}
	c.apply(r.pool.classifyEnd(end))
	if c.state != stateIdle {
		r.pool.drop(c)
		return
	}
	r.pool.putIdle(c, r.idleTime())
}

// countReceived counts the bytes that arrived for the reply.
func (r *pooledReply) countReceived() {
	r.pool.counters.Add("worker_bytes_received", r.conn.metered.total.Swap(0))
	r.pool.counters.Add("worker_replies_open", -1)
}

// idleTime is how long the connection may stay idle: the worker's keep-alive
// timeout less a fifth.
func (r *pooledReply) idleTime() time.Duration {
	for _, part := range strings.Split(string(r.response.Header.Peek("Keep-Alive")), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			return min(time.Duration(seconds)*time.Second*4/5, r.pool.maxIdleTime())
		}
	}
	return r.pool.defaultIdleTime()
}

// readError returns errClosed for a read error that Close has caused.
func (r *pooledReply) readError(err error) error {
	if r.state.Load() == replyClosed {
		return errClosed
	}
	return err
}

// ReadLine returns the next line of the body including its line ending, and io.EOF
// after a complete body. The line is valid until the next call.
func (r *pooledReply) ReadLine(timeout time.Duration) ([]byte, error) {
	if r.endErr != nil {
		return nil, r.endErr
	}
	r.line.release()
	c := r.conn
	if !r.lineReaderSet {
		r.lineReaderSet = true
		if c.lineReader == nil {
			c.lineReader = bufio.NewReaderSize(r.body, lineBufferSize)
		} else {
			c.lineReader.Reset(r.body)
		}
	}
	_ = c.SetReadDeadline(deadlineIn(timeout))
	for {
		piece, err := c.lineReader.ReadSlice('\n')
		if err == nil && len(r.line.bytes) == 0 {
			return piece, nil // the usual case needs no copy
		}
		if appendErr := r.line.append(piece); appendErr != nil {
			return nil, appendErr
		}
		switch {
		case err == nil:
			return r.line.bytes, nil
		case err == bufio.ErrBufferFull:
		case err == io.EOF:
			r.finish()
			if len(r.line.bytes) > 0 {
				return r.line.bytes, nil
			}
			return nil, r.endErr
		default:
			return nil, r.readError(err)
		}
	}
}

// ReadBody returns the whole body, which may not exceed maxBytes.
func (r *pooledReply) ReadBody(timeout time.Duration, maxBytes int) ([]byte, error) {
	switch {
	case r.body == nil:
		return nil, nil
	case r.endErr != nil:
		return nil, r.endErr
	case r.length == lengthUntilClose && !r.mayEndWithConnection:
		return nil, errNoLength
	}
	_ = r.conn.SetReadDeadline(deadlineIn(timeout))
	body, err := memory.ReadBody(r.body, r.length, maxBytes, r.memory)
	if err == memory.ErrBodyTooLarge {
		return nil, errors.Errorf("the response body is longer than %d bytes", maxBytes)
	}
	if err != nil {
		return nil, r.readError(err)
	}
	r.finish()
	return body, nil
}

// Close ends the exchange. Before the body's end it closes the connection, which
// tells the worker to abandon the request.
func (r *pooledReply) Close() {
	if r.state.CompareAndSwap(replyOpen, replyClosed) {
		r.countReceived()
		r.pool.drop(r.conn)
	}
}
