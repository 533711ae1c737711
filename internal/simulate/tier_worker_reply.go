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

// workerReply reads a simulated worker's response from a connection for the gateway.
type workerReply struct {
	transport      *workerTransport
	conn           *workerConn
	clock          base.Clock
	head           workerPart
	foreignAnswers int
	pending        []byte
	endErr         error
	closed         bool
}

func (r *workerReply) nextPart(until time.Duration) (workerPart, error) {
	part, ok := r.conn.incoming.receive(until, func() bool { return r.closed })
	switch {
	case r.closed:
		return part, errConnClosed
	case !ok:
		return part, errTimeout
	case part.kind == partConnClosed:
		return part, errConnClosed
	}
	return part, nil
}

// readHead reads until the head of the expected response: the one whose header matches.
// It skips up to maxForeignAnswers responses to other requests.
func (r *workerReply) readHead(until time.Duration, match base.HeaderLine) error {
	for {
		part, err := r.nextPart(until)
		if err != nil {
			return err
		}
		switch part.kind {
		case partHead:
			r.head = part
			if match.Name == "" || r.Header(match.Name) == match.Value {
				return nil
			}
			if r.foreignAnswers++; r.foreignAnswers > maxForeignAnswers || r.ClosesConnection() {
				return errors.Errorf("received %d responses to other requests", r.foreignAnswers)
			}
			for part.kind != partEnd {
				if part, err = r.nextPart(until); err != nil || part.kind == partRaw {
					return errors.Annotate(err, "skipping a response to another request")
				}
			}
		case partRaw:
			// Raw bytes may hold a complete response, usually to an earlier request.
			answer, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(part.bytes)), nil)
			if err != nil {
				return errMalformed
			}
			body, err := io.ReadAll(answer.Body)
			if err != nil {
				return errMalformed
			}
			if match.Name == "" || answer.Header.Get(match.Name) == match.Value {
				// Its id matches, so it is taken for the expected response.
				r.head = workerPart{kind: partHead, status: answer.StatusCode, length: len(body)}
				for name := range answer.Header {
					r.head.header = append(r.head.header, [2]string{name, answer.Header.Get(name)})
				}
				r.conn.incoming.items = append([]inTransit[workerPart]{{item: workerPart{kind: partBytes, bytes: body}}, {item: workerPart{kind: partEnd}}}, r.conn.incoming.items...)
				return nil
			}
			if r.foreignAnswers++; r.foreignAnswers > maxForeignAnswers {
				return errors.Errorf("received %d responses to other requests", r.foreignAnswers)
			}
		default:
			return errMalformed
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

// releaseConn ends the response and returns the connection to the pool if it can carry
// another request.
func (r *workerReply) releaseConn() {
	r.endErr = io.EOF
	if r.closed {
		return
	}
	r.closed = true
	if r.ClosesConnection() || r.foreignAnswers > 0 || r.conn.incoming.ready() {
		r.conn.close()
		return
	}
	idleTime := r.transport.connectTimeout * 3 / 4
	if keepAlive, found := strings.CutPrefix(r.Header("Keep-Alive"), "timeout="); found {
		if seconds, err := strconv.Atoi(keepAlive); err == nil {
			idleTime = min(time.Duration(seconds)*time.Second*4/5, 30*r.transport.connectTimeout)
		}
	}
	r.transport.release(r.conn, idleTime)
}

// readPiece returns the next bytes of the body, or io.EOF at the end of the response.
func (r *workerReply) readPiece(until time.Duration) ([]byte, error) {
	if r.endErr != nil {
		return nil, r.endErr
	}
	part, err := r.nextPart(until)
	switch {
	case err != nil:
		return nil, err
	case part.kind == partBytes:
		return part.bytes, nil
	case part.kind == partEnd:
		r.releaseConn()
		return nil, io.EOF
	}
	return nil, errMalformed
}

func (r *workerReply) ReadLine(limit time.Duration) ([]byte, error) {
	until := r.clock.Now() + limit
	for {
		if index := bytes.IndexByte(r.pending, '\n'); index >= 0 {
			line := r.pending[:index+1]
			r.pending = r.pending[index+1:]
			return line, nil
		}
		chunk, err := r.readPiece(until)
		if err == io.EOF && len(r.pending) > 0 {
			line := r.pending
			r.pending = nil
			return line, nil
		}
		if err != nil {
			return nil, err
		}
		r.pending = append(r.pending, chunk...)
	}
}

func (r *workerReply) ReadBody(limit time.Duration, maxBytes int) ([]byte, error) {
	until := r.clock.Now() + limit
	var body []byte
	for {
		chunk, err := r.readPiece(until)
		if err == io.EOF {
			if r.head.length >= 0 && len(body) != r.head.length {
				return nil, io.ErrUnexpectedEOF
			}
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if body = append(body, chunk...); len(body) > maxBytes {
			return nil, errors.Errorf("the response body is longer than %d bytes", maxBytes)
		}
	}
}

func (r *workerReply) Close() {
	if !r.closed {
		r.closed = true
		r.conn.close()
	}
}
