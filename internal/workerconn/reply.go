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

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

const (
	headLimit   = 8 << 10 // of an answer's head
	lineLimit   = 1 << 20 // of one line of a stream
	linesFirst  = 4 << 10
	foreignMost = 2 // answers to others that are read past
	// lengthByClose is how fasthttp tells that only a close ends the body.
	lengthByClose = -2
)

var (
	errForeign = errors.New("the answer belongs to another request")
	errClosed  = errors.New("the reply was closed")
	errLength  = errors.New("an answer without a length cannot be told from a cut one")
)

// wasClosed says whether an error is the peer's close or reset, not a time that
// is over.
func wasClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// receive reads the head of the request's own answer, past answers that belong
// to others.
func (p *pool) receive(one *conn, request *base.BackRequest) (*keptReply, error) {
	reply := &keptReply{pool: p, conn: one}
	response := &reply.response
	response.StreamBody = true
	response.SkipBody = request.Method == fasthttp.MethodHead
	for {
		if err := response.ReadLimitBody(one.reader, 0); err != nil {
			return nil, err
		}
		if p.owns(request, string(response.Header.Peek(request.Match.Name))) {
			break
		}
		if err := reply.setAside(); err != nil {
			return nil, err
		}
	}
	one.move(eventHead)
	reply.body = response.BodyStream()
	reply.length = response.Header.ContentLength()
	if reply.body == nil {
		reply.ended()
	}
	return reply, nil
}

// setAside reads past an answer that belongs to an earlier request: the one
// that is due may come behind it. The connection carries no other request.
func (r *keptReply) setAside() error {
	body := r.response.BodyStream()
	if r.foreign++; r.foreign > foreignMost || r.Closes() || body == nil {
		return errForeign
	}
	if read, err := io.Copy(io.Discard, io.LimitReader(body, joinLimit)); err != nil || read == joinLimit {
		return errForeign
	}
	r.response.Reset()
	r.response.StreamBody = true
	return nil
}

// keptReply is the answer under way on a kept connection.
type keptReply struct {
	pool     *pool
	conn     *conn
	response fasthttp.Response
	body     io.Reader
	length   int
	lined    bool
	foreign  int
	over     error // set once the end was reached
	state    atomic.Int32
}

// The states of a reply: who of the reader's end and Close came first.
const (
	replyOpen int32 = iota
	replyKept
	replyClosed
)

// Status is the answer's status.
func (r *keptReply) Status() int { return r.response.StatusCode() }

// Header is one header of the answer.
func (r *keptReply) Header(name string) string { return string(r.response.Header.Peek(name)) }

// Closes tells that the worker will close the connection.
func (r *keptReply) Closes() bool { return r.response.ConnectionClose() }

// EachHeader walks all header lines.
func (r *keptReply) EachHeader(visit func(name, value []byte)) {
	for name, value := range r.response.Header.All() {
		visit(name, value)
	}
}

// ended puts the connection back, or closes it when it cannot carry another
// request.
func (r *keptReply) ended() {
	r.over = io.EOF
	if r.length == lengthByClose && r.body != nil {
		r.over = io.ErrUnexpectedEOF
	}
	if !r.state.CompareAndSwap(replyOpen, replyKept) {
		return
	}
	one := r.conn
	end := answerEnd{clean: r.over == io.EOF, closes: r.Closes(), upgraded: r.Status() == fasthttp.StatusSwitchingProtocols,
		foreign: r.foreign, behind: one.reader.Buffered()}
	one.move(r.pool.judge(end))
	if one.state != stateIdle {
		r.pool.drop(one)
		return
	}
	r.pool.keep(one, r.span())
}

// span is how long the worker will hold the connection, less a margin.
func (r *keptReply) span() time.Duration {
	for _, part := range strings.Split(string(r.response.Header.Peek("Keep-Alive")), ",") {
		told, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(told); found && err == nil {
			return min(time.Duration(seconds)*time.Second*4/5, r.pool.idleMost())
		}
	}
	return r.pool.idleUntold()
}

func (r *keptReply) failed(err error) error {
	if r.state.Load() == replyClosed {
		return errClosed
	}
	return err
}

// Line gives the next line of the body with its end; io.EOF at a clean end.
func (r *keptReply) Line(limit time.Duration) ([]byte, error) {
	if r.over != nil {
		return nil, r.over
	}
	one := r.conn
	if !r.lined {
		r.lined = true
		if one.lines == nil {
			one.lines = bufio.NewReaderSize(r.body, linesFirst)
		} else {
			one.lines.Reset(r.body)
		}
	}
	_ = one.SetReadDeadline(after(limit))
	var line []byte
	for {
		piece, err := one.lines.ReadSlice('\n')
		line = append(line, piece...)
		switch {
		case err == nil:
			return line, nil
		case err == bufio.ErrBufferFull:
			if len(line) > lineLimit {
				return nil, errors.Errorf("a line of more than %d bytes", lineLimit)
			}
		case err == io.EOF:
			r.ended()
			if len(line) > 0 {
				return line, nil
			}
			return nil, r.over
		default:
			return nil, r.failed(err)
		}
	}
}

// Body gives the whole body.
func (r *keptReply) Body(limit time.Duration, most int) ([]byte, error) {
	switch {
	case r.body == nil:
		return nil, nil
	case r.over != nil:
		return nil, r.over
	case r.length == lengthByClose:
		return nil, errLength
	case r.length > most:
		return nil, errors.Errorf("an answer of more than %d bytes", most)
	}
	_ = r.conn.SetReadDeadline(after(limit))
	var body []byte
	var err error
	if r.length >= 0 {
		body = make([]byte, r.length)
		_, err = io.ReadFull(r.body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(r.body, int64(most)+1))
		if err == nil && len(body) > most {
			err = errors.Errorf("an answer of more than %d bytes", most)
		}
	}
	if err != nil {
		return nil, r.failed(err)
	}
	r.ended()
	return body, nil
}

// Close ends the exchange; before the answer's end it closes the connection,
// which tells the worker to drop the request.
func (r *keptReply) Close() {
	if r.state.CompareAndSwap(replyOpen, replyClosed) {
		r.pool.drop(r.conn)
	}
}
