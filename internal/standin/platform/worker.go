// A worker as the platform's services have them: it works on some requests at
// a time and queues a few more, refuses what it has not run in so many words,
// and can be given troubles. It keeps evidence of all that it ran. A plain
// worker answers with bytes, a model worker with a stream from its engine.

package platform

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
)

// Fault is what a worker does wrong in one request.
type Fault string

const (
	Fine Fault = ""
	// LostReset and LostSilent run the request and lose the answer.
	LostReset  Fault = "lost, reset"
	LostSilent Fault = "lost, silent"
	// Garbled sends bytes that form no answer, Cut ends an answer early.
	Garbled Fault = "garbled"
	Cut     Fault = "cut"
	// Extra sends one more answer after a whole one, LateExtra in the place of the next.
	Extra     Fault = "extra"
	LateExtra Fault = "late extra"
	Slow      Fault = "slow"
	Fail      Fault = "fail"
)

// Asked is a request as it came to a worker. Gone fires when the asker's
// connection has closed.
type Asked struct {
	Method, Target, Host string
	Header               func(name string) string
	Body                 []byte
	Gone                 base.Signal
}

// Reply takes a worker's answer. A length below 0 is a body in chunks.
type Reply interface {
	Head(status int, header [][2]string, length int) error
	Write(piece []byte) error
	End() error
	// Raw sends bytes as they are; Later does so before the next answer.
	Raw(bytes []byte)
	Later(bytes []byte)
	// Break closes the connection, by a reset when hard.
	Break(hard bool)
}

// Worker is one life of a worker.
type Worker struct {
	ID       string
	Service  string
	Zone     string
	Address  string
	Clock    base.Clock
	Ledger   *Ledger
	Shape    ServiceShape
	Speed    float64 // 1 is usual, more is slower
	KeepIdle time.Duration
	// Work gives a request's work; Bytes the length of its answer.
	Work  func(target string) (time.Duration, int)
	Draws *rand.Rand
	// Next draws the trouble of one request.
	Next func() Fault
	// LyingHealth says it is well whatever its troubles; Unwell says it is not.
	LyingHealth bool

	mu      sync.Mutex
	leaving bool
	over    bool
	unwell  bool
	running int
	waiting []*place
	serial  int
	engine  *engine
}

type place struct {
	let     base.Signal
	skipped bool
}

// Start prepares a worker.
func (w *Worker) Start() {
	if w.Speed == 0 {
		w.Speed = 1
	}
	if w.Shape.Engine != nil {
		w.engine = newEngine(w.Clock, w.Shape, w.Speed)
	}
}

// Leave makes the worker say in its answers that it is going.
func (w *Worker) Leave() {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
}

// End says that the worker's process has ended: what it has not answered, it
// broke off itself.
func (w *Worker) End() {
	w.mu.Lock()
	w.leaving, w.over = true, true
	w.mu.Unlock()
}

func (w *Worker) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

// SetWell changes what the worker thinks of itself.
func (w *Worker) SetWell(well bool) {
	w.mu.Lock()
	w.unwell = !well
	w.mu.Unlock()
}

// Leaving says that it is going.
func (w *Worker) Leaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// Queued is how many requests wait.
func (w *Worker) Queued() int {
	if w.engine != nil {
		_, waiting := w.engine.load()
		return waiting
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiting)
}

func (w *Worker) load() string {
	if w.engine != nil {
		running, waiting := w.engine.load()
		return fmt.Sprintf("%d,%d,%d", running, waiting, w.Shape.Capacity)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", w.running, len(w.waiting), w.Shape.Capacity)
}

func (w *Worker) draw() (fault Fault, fraction float64, serial int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.Next != nil {
		fault = w.Next()
	}
	if w.Draws != nil {
		fraction = w.Draws.Float64()
	}
	w.serial++
	return fault, fraction, w.serial
}

// enter takes a slot, waiting in line for it; false when there is no room, or
// the time or the asker has gone first.
func (w *Worker) enter(until time.Duration, gone base.Signal) bool {
	w.mu.Lock()
	if w.running < w.Shape.Capacity {
		w.running++
		w.mu.Unlock()
		return true
	}
	if len(w.waiting) >= w.Shape.Queue {
		w.mu.Unlock()
		return false
	}
	mine := &place{let: w.Clock.NewSignal()}
	w.waiting = append(w.waiting, mine)
	w.mu.Unlock()
	let := mine.let.Wait(max(0, until-w.Clock.Now()))
	w.mu.Lock()
	defer w.mu.Unlock()
	if !let && !mine.let.Fired() {
		mine.skipped = true
		w.waiting = base.Filter(w.waiting, func(p *place) bool { return p != mine })
		return false
	}
	if gone.Fired() {
		w.next()
		return false
	}
	return true
}

// next hands a slot on; the caller holds the lock.
func (w *Worker) next() {
	for len(w.waiting) > 0 {
		first := w.waiting[0]
		w.waiting = w.waiting[1:]
		if !first.skipped {
			first.let.Fire()
			return
		}
	}
	w.running--
}

func (w *Worker) exit() {
	w.mu.Lock()
	w.next()
	w.mu.Unlock()
}

func (w *Worker) header(id string) [][2]string {
	header := [][2]string{}
	if id != "" {
		header = append(header, [2]string{HeaderID, id})
	}
	header = append(header, [2]string{HeaderLoad, w.load()})
	if w.Leaving() {
		header = append(header, [2]string{"Connection", "close"})
	} else if w.KeepIdle > 0 {
		header = append(header, [2]string{"Keep-Alive", fmt.Sprintf("timeout=%d", int(w.KeepIdle.Seconds()))})
	}
	return header
}

func (w *Worker) plain(reply Reply, status int, header [][2]string, body string) {
	if reply.Head(status, header, len(body)) == nil && reply.Write([]byte(body)) == nil {
		_ = reply.End()
	}
}

// Serve answers one request.
func (w *Worker) Serve(asked *Asked, reply Reply) {
	path, _, _ := strings.Cut(asked.Target, "?")
	switch {
	case asked.Method == "GET" && path == PathHealth:
		w.health(asked, reply)
		return
	case asked.Method == "GET" && path == PathReport && w.engine != nil:
		w.plain(reply, 200, [][2]string{{"Content-Type", "application/json"}}, w.engine.report())
		return
	}
	arrival := &Arrival{Worker: w.ID, Service: w.Service, ID: asked.Header(HeaderID), Host: asked.Host, Method: asked.Method, Target: asked.Target,
		Body: base.Digest(asked.Body), At: w.Clock.Now()}
	arrival.After, _ = strconv.ParseInt(asked.Header(HeaderLastEvent), 10, 64)
	w.Ledger.Note(func(r *Record) { r.Arrivals = append(r.Arrivals, arrival) })
	note := func(change func(a *Arrival)) { w.Ledger.Note(func(*Record) { change(arrival) }) }
	refuse := func(status int, more ...[2]string) {
		note(func(a *Arrival) { a.Status, a.Ended = status, w.Clock.Now() })
		w.plain(reply, status, append(w.header(arrival.ID), more...), "")
	}
	if arrival.ID == "" {
		refuse(400, [2]string{HeaderNotRun, "1"})
		return
	}
	if expected := asked.Header(HeaderExpectInstance); expected != "" && expected != w.ID {
		refuse(421, [2]string{HeaderInstance, w.ID})
		return
	}
	until := arrival.At + time.Hour
	if ms, err := strconv.ParseFloat(asked.Header(HeaderDeadline), 64); err == nil {
		until = arrival.At + time.Duration(ms*float64(time.Millisecond))
	}
	if w.engine != nil {
		w.stream(asked, reply, arrival, until, note, refuse)
		return
	}
	if !w.enter(until, asked.Gone) {
		refuse(503, [2]string{HeaderNotRun, "1"})
		return
	}
	defer w.exit()
	w.work(asked, reply, arrival, until, note)
}

func (w *Worker) health(asked *Asked, reply Reply) {
	status := 200
	w.mu.Lock()
	if w.leaving || w.unwell && !w.LyingHealth {
		status = 503
	}
	w.mu.Unlock()
	if w.engine == nil {
		if !w.enter(w.Clock.Now()+time.Second, asked.Gone) {
			w.plain(reply, 503, append(w.header(""), [2]string{HeaderNotRun, "1"}), "")
			return
		}
		w.Clock.Sleep(time.Millisecond)
		w.exit()
	}
	w.plain(reply, status, append(w.header(""), [2]string{HeaderInstance, w.ID}), "")
}

func (w *Worker) seal(serial int, id string) string {
	return fmt.Sprintf("%s.%x.%s", w.ID, serial, base.Digest([]byte(id))[:8])
}

// work runs a plain request.
func (w *Worker) work(asked *Asked, reply Reply, arrival *Arrival, until time.Duration, note func(func(*Arrival))) {
	fault, fraction, serial := w.draw()
	seal := w.seal(serial, arrival.ID)
	span, bytes := 50*time.Millisecond, 800
	if w.Work != nil {
		span, bytes = w.Work(asked.Target)
	}
	span = time.Duration(float64(span) * w.Speed)
	if fault == Slow {
		span *= 5
	}
	status := 200
	if fault == Fail || fraction < w.errors(asked.Target) {
		status = 500
	}
	begun := w.Clock.Now()
	if begun+span > until {
		status, span = 504, max(0, until-begun)
	}
	body := []byte(strings.Repeat(seal+" ", bytes/(len(seal)+1)+1))[:max(1, bytes)]
	note(func(a *Arrival) {
		a.Ran, a.Began, a.Status, a.Seal, a.Answer = true, begun, status, seal, base.Digest(body)
	})
	left := asked.Gone.Wait(span)
	over := w.ended()
	note(func(a *Arrival) { a.Ended, a.Left, a.Broke = w.Clock.Now(), left && !over, over })
	if left || over {
		return
	}
	broke := func() { note(func(a *Arrival) { a.Broke = true }) }
	header := append(w.header(arrival.ID), [2]string{HeaderSeal, seal}, [2]string{"Content-Type", "application/octet-stream"})
	switch fault {
	case LostReset:
		broke()
		reply.Break(true)
		return
	case LostSilent:
		broke()
		asked.Gone.Wait(time.Minute)
		reply.Break(false)
		return
	case Garbled:
		broke()
		reply.Raw([]byte("\x00\x17garbled " + seal + "\r\n\r\n"))
		reply.Break(false)
		return
	case Cut:
		broke()
		_ = reply.Head(status, header, len(body))
		_ = reply.Write(body[:len(body)/2])
		reply.Break(false)
		return
	}
	if reply.Head(status, header, len(body)) != nil || reply.Write(body) != nil {
		if w.ended() {
			broke()
		}
		return
	}
	note(func(a *Arrival) { a.Whole = true })
	if reply.End() != nil {
		return
	}
	w.surplus(reply, fault, arrival.ID)
}

func (w *Worker) errors(target string) float64 {
	if w.engine != nil || !strings.Contains(target, "n=7") {
		return 0
	}
	return 0.05
}
