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

// behaviour is what the fake partner does with one request.
type behaviour int

const (
	answers behaviour = iota
	answersAndCloses
	answersShort
	answersTwice
	answersTwiceEmpty
	closesUnread
	resetsUnread
	readsAndCloses
	readsAndResets
	behaviours
)

const (
	behaviourHeader = "Behaviour"
	idHeader        = "Request-Id"
)

// fakePartner answers as each request asks, and counts how often it has read
// each one whole.
type fakePartner struct {
	listener net.Listener

	// withoutID leaves the message's id out of answers.
	withoutID bool

	mu   sync.Mutex
	read map[string]int
}

func newFakePartner(t testing.TB, withoutID bool) *fakePartner {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &fakePartner{listener: listener, withoutID: withoutID, read: map[string]int{}}
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

func (p *fakePartner) timesRead(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.read[id]
}

func (p *fakePartner) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		asked, _ := strconv.Atoi(request.Header.Get(behaviourHeader))
		if how := behaviour(asked); how == closesUnread || how == resetsUnread {
			if how == resetsUnread {
				_ = c.SetLinger(0)
			}
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get(idHeader)
		p.mu.Lock()
		p.read[id]++
		p.mu.Unlock()
		if !p.answer(c, behaviour(asked), request.Header.Get(base.MessageIDHeader), body) {
			return
		}
	}
}

// answer says whether the connection goes on.
func (p *fakePartner) answer(c *net.TCPConn, how behaviour, message string, body []byte) bool {
	head := "HTTP/1.1 200 OK\r\n"
	if !p.withoutID {
		head += base.MessageIDHeader + ": " + message + "\r\n"
	}
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	switch how {
	case answers:
		_, err := io.WriteString(c, whole)
		return err == nil
	case answersTwice:
		_, err := io.WriteString(c, whole+whole)
		return err == nil
	case answersTwiceEmpty:
		empty := head + "Content-Length: 0\r\n\r\n"
		_, err := io.WriteString(c, empty+empty)
		return err == nil
	case answersAndCloses:
		_, _ = io.WriteString(c, whole)
	case answersShort:
		_, _ = io.WriteString(c, whole[:len(whole)-1])
	case readsAndResets:
		_ = c.SetLinger(0)
	}
	return false
}

func newTestWire(t testing.TB) *Client {
	log.SetOutput(io.Discard) // net/http tells of each surplus answer
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	wire, err := NewClient(func() {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(wire.Close)
	return wire
}

func ask(wire *Client, addr, id string, how behaviour, body []byte) (string, error) {
	ctx := base.NewCtx(base.NewRealClock(), 20*time.Second)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set(idHeader, id)
	request.Header.Set(behaviourHeader, strconv.Itoa(int(how)))
	response, err := wire.Do(request)
	if err != nil {
		return "", err
	}
	got, err := io.ReadAll(response.Body)
	return string(got), err
}

// plan is what several tasks ask of one partner, each one after the other.
type plan struct {
	lanes   [][]behaviour
	padding int
}

var plans = rapid.Custom(func(t *rapid.T) plan {
	how := rapid.Custom(func(t *rapid.T) behaviour {
		return behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "behaviour"))
	})
	lanes := rapid.SliceOfN(rapid.SliceOfN(how, 1, 6), 1, 4).Draw(t, "lanes")
	return plan{lanes: lanes, padding: rapid.SampledFrom([]int{0, 100, 20 << 10}).Draw(t, "padding")}
})

var played atomic.Int64

// play carries a plan out, and tells the first fault that it finds.
func play(partner *fakePartner, wire *Client, p plan) string {
	run := played.Add(1)
	faults := make(chan string, 100)
	var group sync.WaitGroup
	for lane, steps := range p.lanes {
		group.Add(1)
		go func() {
			defer group.Done()
			for step, how := range steps {
				id := fmt.Sprintf("%d-%d-%d", run, lane, step)
				if fault := exchange(partner, wire, id, how, p.padding); fault != "" {
					faults <- fault
				}
			}
		}()
	}
	group.Wait()
	close(faults)
	return <-faults
}

// exchange asks once, and compares what is told with what the partner saw.
func exchange(partner *fakePartner, wire *Client, id string, how behaviour, padding int) string {
	body := append([]byte(id), bytes.Repeat([]byte("x"), padding)...)
	got, err := ask(wire, partner.listener.Addr().String(), id, how, body)
	switch times := partner.timesRead(id); {
	case times > 1:
		return fmt.Sprintf("%s (%d) was read %d times", id, how, times)
	case err == nil && got != string(body) && how != answersTwiceEmpty:
		return fmt.Sprintf("%s (%d) got the answer of another", id, how)
	case err == nil && times == 0:
		return fmt.Sprintf("%s (%d) was answered but not read", id, how)
	case err != nil && base.WasNotSent(err) && times > 0:
		return fmt.Sprintf("%s (%d) was read, but told not to have been sent", id, how)
	}
	return ""
}

// Whatever a partner does, and however many requests share the connections, a
// message is read by it at most once, an answer is the message's own, and what
// is told not to have been sent was read by nobody.
func TestAMessageIsSentOnce(t *testing.T) {
	partner := newFakePartner(t, false)
	wire := newTestWire(t)
	rapid.Check(t, func(t *rapid.T) {
		if fault := play(partner, wire, plans.Draw(t, "plan")); fault != "" {
			t.Fatal(fault)
		}
	})
}

// finds plays generated plans until one shows a fault. Their messages leave in
// one write each.
func finds(partner *fakePartner, wire *Client) string {
	for seed := range 300 {
		p := plans.Example(seed)
		p.padding = 0
		if fault := play(partner, wire, p); fault != "" {
			return fault
		}
	}
	return ""
}

// Where answers carry no id, some plan gets the answer of another.
func TestWithoutTheIDAnswersAreMixed(t *testing.T) {
	partner := newFakePartner(t, true)
	if finds(partner, newTestWire(t)) == "" {
		t.Fatal("nothing was found without the id")
	}
}

// lyingConn tells that nothing left where the peer has closed meanwhile, as a
// write would that was queued and not waited for.
type lyingConn struct{ *eventConn }

func (c lyingConn) Write(data []byte) (int, error) {
	n, err := c.eventConn.Write(data)
	if err != nil {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unread) == 0 && c.state == stateOpen {
		c.changed.Wait()
	}
	if c.state != stateOpen {
		return 0, net.ErrClosed
	}
	return n, nil
}

// Where a write that was queued tells 0 bytes, the HTTP client sends some
// message twice: a write's word is what keeps it from that.
func TestWithoutTheWritesWordAMessageIsRepeated(t *testing.T) {
	partner := newFakePartner(t, false)
	wire := newTestWire(t)
	transport := wire.http.Transport.(*http.Transport)
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialed, err := wire.dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return lyingConn{dialed.(*eventConn)}, nil
	}
	if finds(partner, wire) == "" {
		t.Fatal("nothing was found without the write's word")
	}
}

// A kept connection that the partner resets after it has read a message: the
// HTTP client does not send the message again by itself.
func TestAResetOfAKeptConnectionRepeatsNothing(t *testing.T) {
	is := is.New(t)
	partner := newFakePartner(t, false)
	addr := partner.listener.Addr().String()
	wire := newTestWire(t)
	_, err := ask(wire, addr, "first", answers, []byte("x"))
	is.NoErr(err)
	for _, how := range []behaviour{readsAndResets, readsAndCloses} {
		id := fmt.Sprint("second", how)
		_, err = ask(wire, addr, id, how, []byte("y"))
		is.True(err != nil)
		is.True(!base.WasNotSent(err))
		is.Equal(partner.timesRead(id), 1)
		_, err = ask(wire, addr, fmt.Sprint("third", how), answers, []byte("z"))
		is.NoErr(err)
	}
}

// Of a closed connection nothing leaves, whether the close comes before the
// write or meanwhile: a write that tells 0 bytes left none.
func TestAWriteThatTellsNothingLeftNothing(t *testing.T) {
	is := is.New(t)
	wire := newTestWire(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	for round := range 300 {
		dialed, err := wire.dial(t.Context(), "tcp", listener.Addr().String())
		is.NoErr(err)
		accepted, err := listener.Accept()
		is.NoErr(err)
		closed := make(chan struct{})
		closing := func() {
			_ = dialed.Close()
			close(closed)
		}
		if round%2 == 0 {
			closing()
		} else {
			go closing()
		}
		told, _ := dialed.Write([]byte("message"))
		<-closed
		arrived, err := io.ReadAll(accepted)
		is.NoErr(err)
		if told < len(arrived) {
			t.Fatalf("round %d: %d bytes were told to have left, and %d arrived", round, told, len(arrived))
		}
		_ = accepted.Close()
	}
}

// The moves of a connection, and that none leads back.
func TestStatesNeverGoBack(t *testing.T) {
	is := is.New(t)
	for _, row := range []struct {
		from state
		on   event
		to   state
	}{
		{stateOpen, eventClose, stateClosing},
		{stateOpen, eventGone, stateClosed},
		{stateClosing, eventClose, stateClosing},
		{stateClosing, eventGone, stateClosed},
		{stateClosed, eventClose, stateClosed},
		{stateClosed, eventGone, stateClosed},
	} {
		is.Equal(row.from.next(row.on), row.to)
	}
}
