package workerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fordseam/internal/base"

	"pgregory.net/rapid"
)

// behaviour is what the generated worker does with one request.
type behaviour int

const (
	answersWhole behaviour = iota
	answersInChunks
	answersAndWillClose
	answersAndCloses
	answersAndResets
	answersWithSurplus
	answersAnotherFirst
	answersAnotherOnly
	answersShort
	answersShortInChunks
	answersWithoutLength
	answersGarbage
	streamsUntilLeft
	resetsUnread
	readsAndResets
	readsAndCloses
	readsAndIsMute
	behaviours
)

// doubtful says that the connection may carry nothing after the behaviour.
func (b behaviour) doubtful() bool { return b != answersWhole && b != answersInChunks }

// giveUp bounds requests to a worker that is mute.
const giveUp = 5 * time.Millisecond

const (
	behaviourHeader = "Behaviour"
	lifeHeader      = "Life"
	idHeader        = "Request-Id"
)

// strictWorker does what each request asks, and writes down every use of a
// connection that should not have been.
type strictWorker struct {
	listener net.Listener

	mu     sync.Mutex
	heads  map[string]int
	faults []string
}

func newStrictWorker(t testing.TB) *strictWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &strictWorker{listener: listener, heads: map[string]int{}}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(accepted.(*net.TCPConn))
		}
	}()
	return w
}

// serve handles the requests of one connection.
func (w *strictWorker) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	life := ""
	doubtful := false
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(idHeader)
		asked, _ := strconv.Atoi(request.Header.Get(behaviourHeader))
		how := behaviour(asked)
		w.mu.Lock()
		w.heads[id]++
		switch now := request.Header.Get(lifeHeader); {
		case doubtful:
			w.faults = append(w.faults, id+" came on a connection in doubt")
		case life != "" && life != now:
			w.faults = append(w.faults, id+" came on a connection to another life")
		default:
			life = now
		}
		w.mu.Unlock()
		doubtful = how.doubtful()
		if how == resetsUnread {
			_ = c.SetLinger(0)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil || !w.answer(c, how, id) {
			return
		}
	}
}

// answer says whether the worker reads on.
func (w *strictWorker) answer(c *net.TCPConn, how behaviour, id string) bool {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\n"
	full := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(id), id)
	chunks := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(id), id)
	another := "HTTP/1.1 200 OK\r\n" + idHeader + ": another\r\nContent-Length: 7\r\n\r\nanother"
	say := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	switch how {
	case answersWhole:
		return say(full)
	case answersInChunks:
		return say(chunks + "0\r\n\r\n")
	case answersAndWillClose:
		return say(head + fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n%s", len(id), id))
	case answersAndCloses:
		say(full)
	case answersAndResets:
		say(full)
		_ = c.SetLinger(0)
	case answersWithSurplus:
		return say(full + another)
	case answersAnotherFirst:
		return say(another + full)
	case answersAnotherOnly:
		return say(another + another + another)
	case answersShort:
		say(full[:len(full)-1])
	case answersShortInChunks:
		say(chunks)
	case answersWithoutLength:
		say(head + "\r\n" + id)
	case answersGarbage:
		return say("\x16\x03 this is no answer\r\n\r\n")
	case streamsUntilLeft:
		say(chunks)
		_, _ = c.Read(make([]byte, 1)) // the client's end
	case readsAndResets:
		_ = c.SetLinger(0)
	case readsAndIsMute:
		_, _ = c.Read(make([]byte, 1)) // the client's end
	}
	return false
}

// plan is what several tasks ask of one worker, each one after the other.
type plan struct {
	lanes [][]behaviour
	long  bool // bodies too long to leave in one write
}

var plans = rapid.Custom(func(t *rapid.T) plan {
	how := rapid.Custom(func(t *rapid.T) behaviour {
		// A whole answer between others is what a kept connection needs.
		if rapid.Bool().Draw(t, "whole") {
			return answersWhole
		}
		return behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "behaviour"))
	})
	lanes := rapid.SliceOfN(rapid.SliceOfN(how, 2, 8), 1, 3).Draw(t, "lanes")
	return plan{lanes: lanes, long: rapid.IntRange(0, 9).Draw(t, "long") == 0}
})

var played atomic.Int64

// play carries a plan out, and tells the first fault that it finds.
func play(worker *strictWorker, client *Client, p plan) string {
	run := played.Add(1)
	faults := make(chan string, 100)
	var group sync.WaitGroup
	for lane, steps := range p.lanes {
		group.Go(func() {
			for step, how := range steps {
				life := fmt.Sprintf("w%d", (lane+step/3)%2)
				if step%5 == 4 {
					client.Forget(life)
				}
				id := fmt.Sprintf("%d-%d-%d", run, lane, step)
				if fault := exchange(worker, client, id, life, how, p.long); fault != "" {
					faults <- fault
				}
			}
		})
	}
	group.Wait()
	close(faults)
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if len(worker.faults) > 0 {
		return worker.faults[0]
	}
	return <-faults
}

// exchange asks once, and compares what is told with what the worker saw.
func exchange(worker *strictWorker, client *Client, id, life string, how behaviour, long bool) string {
	limit := 20 * time.Second
	if how == readsAndIsMute {
		limit = giveUp
	}
	body, err := askWorker(worker, client, id, life, how, long, limit)
	worker.mu.Lock()
	heads := worker.heads[id]
	worker.mu.Unlock()
	switch {
	case heads > 1:
		return fmt.Sprintf("%s (%d) was sent %d times", id, how, heads)
	case err == nil && body != id:
		return fmt.Sprintf("%s (%d) got %q", id, how, body)
	case err == nil && heads == 0:
		return fmt.Sprintf("%s (%d) was answered but not sent", id, how)
	case base.WasNotSent(err) && heads > 0:
		return fmt.Sprintf("%s (%d) was sent, but told not to have been", id, how)
	}
	return ""
}

func askWorker(worker *strictWorker, client *Client, id, life string, how behaviour, long bool, limit time.Duration) (string, error) {
	request := &base.BackRequest{Method: http.MethodPost, Path: "/x", Worker: life, Body: []byte("ask"),
		Lines: []base.HeaderLine{{Name: idHeader, Value: id}, {Name: lifeHeader, Value: life}, {Name: behaviourHeader, Value: strconv.Itoa(int(how))}},
		Match: base.HeaderLine{Name: idHeader, Value: id}}
	if long {
		request.Body = make([]byte, 2*joinLimit)
	}
	reply, err := client.Call(base.NewCtx(base.NewRealClock(), limit), worker.listener.Addr().String(), request)
	if err != nil {
		return "", err
	}
	defer reply.Close()
	if how == streamsUntilLeft {
		_, err := reply.Line(giveUp)
		return id, err // read no further
	}
	body, err := reply.Body(limit, 1000)
	return string(body), err
}

// Whatever a worker does, whoever gives up, and however many requests share its
// connections: a request is sent at most once, what is told not to have been
// sent never was, an answer is the request's own and whole, and a connection in
// doubt, or to another life of the worker, carries nothing more.
func TestARequestIsSentOnceAndAnswered(t *testing.T) {
	worker := newStrictWorker(t)
	client := New(5*time.Second, base.NewCounters())
	rapid.Check(t, func(t *rapid.T) {
		if fault := play(worker, client, plans.Draw(t, "plan")); fault != "" {
			t.Fatal(fault)
		}
	})
}

// lyingConn says of one write that nothing of it left.
type lyingConn struct {
	*net.TCPConn
	writes atomic.Int32
}

func (c *lyingConn) Write(data []byte) (int, error) {
	n, err := c.TCPConn.Write(data)
	if c.writes.Add(1) == 2 {
		return 0, syscall.EPIPE
	}
	return n, err
}

// With one guard taken away, the same plans find a fault.
func TestEachGuardIsNeeded(t *testing.T) {
	for _, row := range []struct {
		name   string
		remove func(p *pool)
	}{
		{"closing when in doubt", func(p *pool) { p.judge = func(answerEnd) event { return eventWhole } }},
		{"the id of an answer", func(p *pool) { p.owns = func(*base.BackRequest, string) bool { return true } }},
		{"sending once after a byte may have left", func(p *pool) {
			dial := p.dialTo
			p.dialTo = func(ctx context.Context, network, addr string) (net.Conn, error) {
				dialed, err := dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &lyingConn{TCPConn: dialed.(*net.TCPConn)}, nil
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			worker := newStrictWorker(t)
			client := New(5*time.Second, base.NewCounters())
			row.remove(client.pool)
			for seed := range 300 {
				if fault := play(worker, client, plans.Example(seed)); fault != "" {
					t.Logf("plan %d: %s", seed, fault)
					return
				}
			}
			t.Fatal("nothing was found without the guard")
		})
	}
}

// Every move that is not foreseen closes the connection.
func TestUnforeseenMovesClose(t *testing.T) {
	for from := stateReady; from <= stateClosed; from++ {
		for e := eventQuiet; e <= eventDoubt; e++ {
			to := from.next(e)
			move, known := moves[e]
			foreseen := known && move.from == from
			if foreseen != (to != stateClosed) {
				t.Errorf("%s on event %d gives %s", from, e, to)
			}
		}
	}
}
