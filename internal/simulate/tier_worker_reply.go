// The answer of a simulated worker as the gateway reads it from a connection.

package simulate

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fordseam/internal/base"

	"github.com/juju/errors"
)

// workerReply is an answer as the gateway reads it.
type workerReply struct {
	calls   *workerCalls
	conn    *workerConn
	clock   base.Clock
	head    arrived
	foreign int
	pending []byte
	over    error
	closed  bool
}

func (r *workerReply) next(until time.Duration) (arrived, error) {
	one, ok := r.conn.in.next(until, func() bool { return r.closed })
	switch {
	case r.closed:
		return one, errCut
	case !ok:
		return one, errSilence
	case one.kind == arrivedClose:
		return one, errCut
	}
	return one, nil
}

// receive reads up to the head of the answer that is due.
func (r *workerReply) receive(until time.Duration, match base.HeaderLine) error {
	for {
		one, err := r.next(until)
		if err != nil {
			return err
		}
		switch one.kind {
		case arrivedHead:
			r.head = one
			if match.Name == "" || r.Header(match.Name) == match.Value {
				return nil
			}
			if r.foreign++; r.foreign > foreignMost || r.ClosesConnection() {
				return errors.New("the answer belongs to another request")
			}
			for one.kind != arrivedEnd {
				if one, err = r.next(until); err != nil || one.kind == arrivedRaw {
					return errors.Annotate(err, "another request's answer")
				}
			}
		case arrivedRaw:
			// A whole answer among the bytes belongs to an earlier request.
			answer, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(one.bytes)), nil)
			if err != nil {
				return errGarbled
			}
			whole, err := io.ReadAll(answer.Body)
			if err != nil {
				return errGarbled
			}
			if match.Name == "" || answer.Header.Get(match.Name) == match.Value {
				// Its id is right: it stands for the answer itself.
				r.head = arrived{kind: arrivedHead, status: answer.StatusCode, length: len(whole)}
				for name := range answer.Header {
					r.head.header = append(r.head.header, [2]string{name, answer.Header.Get(name)})
				}
				r.conn.in.items = append([]onTheWay[arrived]{{item: arrived{kind: arrivedPiece, bytes: whole}}, {item: arrived{kind: arrivedEnd}}}, r.conn.in.items...)
				return nil
			}
			if r.foreign++; r.foreign > foreignMost {
				return errors.New("the answer belongs to another request")
			}
		default:
			return errGarbled
		}
	}
}

func (r *workerReply) Status() int { return r.head.status }

func (r *workerReply) Header(name string) string {
	for _, line := range r.head.header {
		if strings.EqualFold(line[0], name) {
			return line[1]
		}
	}
	return ""
}

func (r *workerReply) EachHeader(visit func(name, value []byte)) {
	for _, line := range r.head.header {
		visit([]byte(line[0]), []byte(line[1]))
	}
}

func (r *workerReply) ClosesConnection() bool { return r.Header("Connection") == "close" }

// ended keeps the connection when it can carry another request.
func (r *workerReply) ended() {
	r.over = io.EOF
	if r.closed {
		return
	}
	r.closed = true
	if r.ClosesConnection() || r.foreign > 0 || r.conn.in.due() {
		r.conn.close()
		return
	}
	span := r.calls.connect * 3 / 4
	if told, found := strings.CutPrefix(r.Header("Keep-Alive"), "timeout="); found {
		if seconds, err := strconv.Atoi(told); err == nil {
			span = min(time.Duration(seconds)*time.Second*4/5, 30*r.calls.connect)
		}
	}
	r.calls.keep(r.conn, span)
}

// piece reads on; io.EOF at the end of the answer.
func (r *workerReply) piece(until time.Duration) ([]byte, error) {
	if r.over != nil {
		return nil, r.over
	}
	one, err := r.next(until)
	switch {
	case err != nil:
		return nil, err
	case one.kind == arrivedPiece:
		return one.bytes, nil
	case one.kind == arrivedEnd:
		r.ended()
		return nil, io.EOF
	}
	return nil, errGarbled
}

func (r *workerReply) ReadLine(limit time.Duration) ([]byte, error) {
	until := r.clock.Now() + limit
	for {
		if place := bytes.IndexByte(r.pending, '\n'); place >= 0 {
			line := r.pending[:place+1]
			r.pending = r.pending[place+1:]
			return line, nil
		}
		some, err := r.piece(until)
		if err == io.EOF && len(r.pending) > 0 {
			line := r.pending
			r.pending = nil
			return line, nil
		}
		if err != nil {
			return nil, err
		}
		r.pending = append(r.pending, some...)
	}
}

func (r *workerReply) ReadBody(limit time.Duration, most int) ([]byte, error) {
	until := r.clock.Now() + limit
	var body []byte
	for {
		some, err := r.piece(until)
		if err == io.EOF {
			if r.head.length >= 0 && len(body) != r.head.length {
				return nil, io.ErrUnexpectedEOF
			}
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if body = append(body, some...); len(body) > most {
			return nil, errors.Errorf("an answer of more than %d bytes", most)
		}
	}
}

func (r *workerReply) Close() {
	if !r.closed {
		r.closed = true
		r.conn.close()
	}
}
