package conn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fordseam/internal/base"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// peerBehaviour is what the fake peer does with one request.
type peerBehaviour int

const (
	replies peerBehaviour = iota
	repliesThenCloses
	truncatesReply
	repliesTwice
	repliesTwiceEmpty
	closesWithoutReading
	resetsWithoutReading
	readsThenCloses
	readsThenResets
	behaviourCount
)

const (
	behaviourHeader = "Behaviour"
	requestIDHeader = "Request-Id"
)

// fakePeer is an HTTP server that treats each request as the request's header asks,
// and counts how often it has read each one completely.
type fakePeer struct {
	listener net.Listener

	// omitMessageID omits the message's id from replies.
	omitMessageID bool

	mu         sync.Mutex
	readCounts map[string]int
}

func newFakePeer(t testing.TB, omitMessageID bool) *fakePeer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &fakePeer{listener: listener, omitMessageID: omitMessageID, readCounts: map[string]int{}}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(accepted.(*net.TCPConn))
		}
	}()
	return p
}

func (p *fakePeer) readCount(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readCounts[id]
}

func (p *fakePeer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		requested, _ := strconv.Atoi(request.Header.Get(behaviourHeader))
		if behaviour := peerBehaviour(requested); behaviour == closesWithoutReading || behaviour == resetsWithoutReading {
			if behaviour == resetsWithoutReading {
				_ = c.SetLinger(0)
			}
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get(requestIDHeader)
		p.mu.Lock()
		p.readCounts[id]++
		p.mu.Unlock()
		if !p.reply(c, peerBehaviour(requested), request.Header.Get(base.MessageIDHeader), body) {
			return
		}
	}
}

// reply replies to a request and reports whether the connection stays open.
func (p *fakePeer) reply(c *net.TCPConn, behaviour peerBehaviour, messageID string, body []byte) bool {
	header := "HTTP/1.1 200 OK\r\n"
	if !p.omitMessageID {
		header += base.MessageIDHeader + ": " + messageID + "\r\n"
	}
	complete := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	switch behaviour {
	case replies:
		_, err := io.WriteString(c, complete)
		return err == nil
	case repliesTwice:
		_, err := io.WriteString(c, complete+complete)
		return err == nil
	case repliesTwiceEmpty:
		empty := header + "Content-Length: 0\r\n\r\n"
		_, err := io.WriteString(c, empty+empty)
		return err == nil
	case repliesThenCloses:
		_, _ = io.WriteString(c, complete)
	case truncatesReply:
		_, _ = io.WriteString(c, complete[:len(complete)-1])
	case readsThenResets:
		_ = c.SetLinger(0)
	}
	return false
}

func newTestClient(t testing.TB) *Client {
	log.SetOutput(io.Discard) // net/http logs each unsolicited response
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	client, err := NewClient(func() {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// post sends a request and returns the body of the reply.
func post(client *Client, addr, id string, behaviour peerBehaviour, body []byte) (string, error) {
	ctx := base.NewCtx(base.NewRealClock(), 20*time.Second)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set(requestIDHeader, id)
	request.Header.Set(behaviourHeader, strconv.Itoa(int(behaviour)))
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	got, err := io.ReadAll(response.Body)
	return string(got), err
}

// requestPlan holds sequences of requests to one peer. The sequences run concurrently.
type requestPlan struct {
	sequences [][]peerBehaviour
	padding   int
}

var requestPlans = rapid.Custom(func(t *rapid.T) requestPlan {
	behaviour := rapid.Custom(func(t *rapid.T) peerBehaviour {
		return peerBehaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "behaviour"))
	})
	sequences := rapid.SliceOfN(rapid.SliceOfN(behaviour, 1, 6), 1, 4).Draw(t, "lanes")
	return requestPlan{sequences: sequences, padding: rapid.SampledFrom([]int{0, 100, 20 << 10}).Draw(t, "padding")}
})

var planCount atomic.Int64

// runPlan runs a plan and returns the first violation found, or "".
func runPlan(peer *fakePeer, client *Client, p requestPlan) string {
	planID := planCount.Add(1)
	violations := make(chan string, 100)
	var group sync.WaitGroup
	for sequence, steps := range p.sequences {
		group.Add(1)
		go func() {
			defer group.Done()
			for step, behaviour := range steps {
				id := fmt.Sprintf("%d-%d-%d", planID, sequence, step)
				if violation := postAndCheck(peer, client, id, behaviour, p.padding); violation != "" {
					violations <- violation
				}
			}
		}()
	}
	group.Wait()
	close(violations)
	return <-violations
}

// postAndCheck sends a request and compares the result with what the peer has read.
func postAndCheck(peer *fakePeer, client *Client, id string, behaviour peerBehaviour, padding int) string {
	body := append([]byte(id), bytes.Repeat([]byte("x"), padding)...)
	got, err := post(client, peer.listener.Addr().String(), id, behaviour, body)
	switch reads := peer.readCount(id); {
	case reads > 1:
		return fmt.Sprintf("%s (%d) was read %d times", id, behaviour, reads)
	case err == nil && got != string(body) && behaviour != repliesTwiceEmpty:
		return fmt.Sprintf("%s (%d) got the reply to another request", id, behaviour)
	case err == nil && reads == 0:
		return fmt.Sprintf("%s (%d) was replied to but never read", id, behaviour)
	case err != nil && base.WasNotSent(err) && reads > 0:
		return fmt.Sprintf("%s (%d) was read, but reported as not sent", id, behaviour)
	}
	return ""
}

// Whatever a peer does, and however many requests share its connections, it reads each
// message at most once, a reply belongs to its message, and a message that is reported
// as not sent was not read.
func TestMessageIsReadAtMostOnce(t *testing.T) {
	peer := newFakePeer(t, false)
	client := newTestClient(t)
	rapid.Check(t, func(t *rapid.T) {
		if violation := runPlan(peer, client, requestPlans.Draw(t, "plan")); violation != "" {
			t.Fatal(violation)
		}
	})
}

// findViolation runs generated plans until one shows a violation. The requests have no
// padding, so that each is sent in a single write.
func findViolation(peer *fakePeer, client *Client) string {
	for seed := range 300 {
		p := requestPlans.Example(seed)
		p.padding = 0
		if violation := runPlan(peer, client, p); violation != "" {
			return violation
		}
	}
	return ""
}

// If replies carry no message id, some request gets the reply to another one. This
// shows that the check of the id is needed and that the plans would find its absence.
func TestRepliesAreMixedUpWithoutMessageID(t *testing.T) {
	peer := newFakePeer(t, true)
	if findViolation(peer, newTestClient(t)) == "" {
		t.Fatal("no violation was found without the message id")
	}
}

// zeroWriteConn returns 0 from a write if the peer closes the connection before it
// replies, like a connection whose writes are queued and not waited for.
type zeroWriteConn struct{ *eventConn }

func (c zeroWriteConn) Write(data []byte) (int, error) {
	n, err := c.eventConn.Write(data)
	if err != nil {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unread) == 0 && c.state == stateOpen {
		c.cond.Wait()
	}
	if c.state != stateOpen {
		return 0, net.ErrClosed
	}
	return n, nil
}

// If a write returns 0 although its data were sent, the HTTP client repeats some
// message. This shows that the result of Write is what prevents it.
func TestMessageIsRepeatedIfWriteReportsZeroBytes(t *testing.T) {
	peer := newFakePeer(t, false)
	client := newTestClient(t)
	transport := client.httpClient.Transport.(*http.Transport)
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialed, err := client.dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return zeroWriteConn{dialed.(*eventConn)}, nil
	}
	if findViolation(peer, client) == "" {
		t.Fatal("no violation was found with writes that return 0")
	}
}

// If the peer resets or closes a pooled connection after reading a message, the HTTP
// client does not repeat the message.
func TestResetOfPooledConnectionRepeatsNothing(t *testing.T) {
	is := is.New(t)
	peer := newFakePeer(t, false)
	addr := peer.listener.Addr().String()
	client := newTestClient(t)
	_, err := post(client, addr, "first", replies, []byte("x"))
	is.NoErr(err)
	for _, behaviour := range []peerBehaviour{readsThenResets, readsThenCloses} {
		id := fmt.Sprint("second", behaviour)
		_, err = post(client, addr, id, behaviour, []byte("y"))
		is.True(err != nil)
		is.True(!base.WasNotSent(err))
		is.Equal(peer.readCount(id), 1)
		_, err = post(client, addr, fmt.Sprint("third", behaviour), replies, []byte("z"))
		is.NoErr(err)
	}
}

// If a connection is closed before or during a write that returns 0, the peer receives
// no byte of it.
func TestWriteReportingZeroBytesSentNothing(t *testing.T) {
	is := is.New(t)
	client := newTestClient(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	for i := range 300 {
		dialed, err := client.dial(t.Context(), "tcp", listener.Addr().String())
		is.NoErr(err)
		accepted, err := listener.Accept()
		is.NoErr(err)
		closed := make(chan struct{})
		closeConn := func() {
			_ = dialed.Close()
			close(closed)
		}
		if i%2 == 0 {
			closeConn()
		} else {
			go closeConn()
		}
		reported, _ := dialed.Write([]byte("message"))
		<-closed
		arrived, err := io.ReadAll(accepted)
		is.NoErr(err)
		if reported < len(arrived) {
			t.Fatalf("round %d: %d bytes were reported as sent, but %d arrived", i, reported, len(arrived))
		}
		_ = accepted.Close()
	}
}

// Lists all transitions of a connection. None leads back to an earlier state.
func TestStateTransitions(t *testing.T) {
	is := is.New(t)
	for _, row := range []struct {
		from  state
		event event
		to    state
	}{
		{stateOpen, eventLocalClose, stateClosing},
		{stateOpen, eventSocketClosed, stateClosed},
		{stateClosing, eventLocalClose, stateClosing},
		{stateClosing, eventSocketClosed, stateClosed},
		{stateClosed, eventLocalClose, stateClosed},
		{stateClosed, eventSocketClosed, stateClosed},
	} {
		is.Equal(row.from.next(row.event), row.to)
	}
}
