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
	NoFault Fault = ""
	// FaultLostReset and LostSilent run the request and lose the answer.
	FaultLostReset  Fault = "lost, reset"
	FaultLostSilent Fault = "lost, silent"
	// FaultGarbled sends bytes that form no answer, Cut ends an answer early.
	FaultGarbled Fault = "garbled"
	FaultCut     Fault = "cut"
	// FaultExtra sends one more answer after a whole one, LateExtra in the place of the next.
	FaultExtra     Fault = "extra"
	FaultLateExtra Fault = "late extra"
	FaultSlow      Fault = "slow"
	FaultError     Fault = "fail"
)

// Request is a request as it came to a worker. Gone fires when the asker's
// connection has closed.
type Request struct {
	Method, Target, Host string
	Header               func(name string) string
	Body                 []byte
	ClientClosed         base.Signal
}

// ResponseWriter takes a worker's answer. A length below 0 is a body in chunks.
type ResponseWriter interface {
	WriteHeader(status int, header [][2]string, length int) error
	Write(piece []byte) error
	Finish() error
	// WriteRaw sends bytes as they are; Later does so before the next answer.
	WriteRaw(bytes []byte)
	WriteRawBeforeNext(bytes []byte)
	// Abort closes the connection, by a reset when hard.
	Abort(hard bool)
}

// Worker is one life of a worker.
type Worker struct {
	ID        string
	Service   string
	Zone      string
	Address   string
	Clock     base.Clock
	Recorder  *Recorder
	Spec      ServiceSpec
	Slowdown  float64 // 1 is usual, more is slower
	KeepAlive time.Duration
	// Workload gives a request's work; Bytes the length of its answer.
	Workload func(target string) (time.Duration, int)
	Rng      *rand.Rand
	// NextFault draws the trouble of one request.
	NextFault func() Fault
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
	if w.Slowdown == 0 {
		w.Slowdown = 1
	}
	if w.Spec.Engine != nil {
		w.engine = newEngine(w.Clock, w.Spec, w.Slowdown)
	}
}

// Drain makes the worker say in its answers that it is going.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
}

// Stop says that the worker's process has ended: what it has not answered, it
// broke off itself.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.leaving, w.over = true, true
	w.mu.Unlock()
}

func (w *Worker) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

// SetHealthy changes what the worker thinks of itself.
func (w *Worker) SetHealthy(well bool) {
	w.mu.Lock()
	w.unwell = !well
	w.mu.Unlock()
}

// Draining says that it is going.
func (w *Worker) Draining() bool {
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
		return fmt.Sprintf("%d,%d,%d", running, waiting, w.Spec.Capacity)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", w.running, len(w.waiting), w.Spec.Capacity)
}

func (w *Worker) draw() (fault Fault, fraction float64, serial int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.NextFault != nil {
		fault = w.NextFault()
	}
	if w.Rng != nil {
		fraction = w.Rng.Float64()
	}
	w.serial++
	return fault, fraction, w.serial
}

// enter takes a slot, waiting in line for it; false when there is no room, or
// the time or the asker has gone first.
func (w *Worker) enter(until time.Duration, gone base.Signal) bool {
	w.mu.Lock()
	if w.running < w.Spec.Capacity {
		w.running++
		w.mu.Unlock()
		return true
	}
	if len(w.waiting) >= w.Spec.QueueSize {
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
	if w.Draining() {
		header = append(header, [2]string{"Connection", "close"})
	} else if w.KeepAlive > 0 {
		header = append(header, [2]string{"Keep-Alive", fmt.Sprintf("timeout=%d", int(w.KeepAlive.Seconds()))})
	}
	return header
}

func (w *Worker) plain(reply ResponseWriter, status int, header [][2]string, body string) {
	if reply.WriteHeader(status, header, len(body)) == nil && reply.Write([]byte(body)) == nil {
		_ = reply.Finish()
	}
}

// Serve answers one request.
func (w *Worker) Serve(asked *Request, reply ResponseWriter) {
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
	w.Recorder.Update(func(r *Record) { r.Arrivals = append(r.Arrivals, arrival) })
	note := func(change func(a *Arrival)) { w.Recorder.Update(func(*Record) { change(arrival) }) }
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
	if !w.enter(until, asked.ClientClosed) {
		refuse(503, [2]string{HeaderNotRun, "1"})
		return
	}
	defer w.exit()
	w.work(asked, reply, arrival, until, note)
}

func (w *Worker) health(asked *Request, reply ResponseWriter) {
	status := 200
	w.mu.Lock()
	if w.leaving || w.unwell && !w.LyingHealth {
		status = 503
	}
	w.mu.Unlock()
	if w.engine == nil {
		if !w.enter(w.Clock.Now()+time.Second, asked.ClientClosed) {
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
func (w *Worker) work(asked *Request, reply ResponseWriter, arrival *Arrival, until time.Duration, note func(func(*Arrival))) {
	fault, fraction, serial := w.draw()
	seal := w.seal(serial, arrival.ID)
	span, bytes := 50*time.Millisecond, 800
	if w.Workload != nil {
		span, bytes = w.Workload(asked.Target)
	}
	span = time.Duration(float64(span) * w.Slowdown)
	if fault == FaultSlow {
		span *= 5
	}
	status := 200
	if fault == FaultError || fraction < w.errors(asked.Target) {
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
	left := asked.ClientClosed.Wait(span)
	over := w.ended()
	note(func(a *Arrival) { a.Ended, a.Left, a.Broke = w.Clock.Now(), left && !over, over })
	if left || over {
		return
	}
	broke := func() { note(func(a *Arrival) { a.Broke = true }) }
	header := append(w.header(arrival.ID), [2]string{HeaderSeal, seal}, [2]string{"Content-Type", "application/octet-stream"})
	switch fault {
	case FaultLostReset:
		broke()
		reply.Abort(true)
		return
	case FaultLostSilent:
		broke()
		asked.ClientClosed.Wait(time.Minute)
		reply.Abort(false)
		return
	case FaultGarbled:
		broke()
		reply.WriteRaw([]byte("\x00\x17garbled " + seal + "\r\n\r\n"))
		reply.Abort(false)
		return
	case FaultCut:
		broke()
		_ = reply.WriteHeader(status, header, len(body))
		_ = reply.Write(body[:len(body)/2])
		reply.Abort(false)
		return
	}
	if reply.WriteHeader(status, header, len(body)) != nil || reply.Write(body) != nil {
		if w.ended() {
			broke()
		}
		return
	}
	note(func(a *Arrival) { a.Whole = true })
	if reply.Finish() != nil {
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
