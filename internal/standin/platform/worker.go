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

// Fault is what a worker does wrong with one request.
type Fault string

const (
	NoFault Fault = ""
	// FaultLostReset runs the request and resets the connection instead of answering;
	// FaultLostSilent runs it and never answers.
	FaultLostReset  Fault = "lost, reset"
	FaultLostSilent Fault = "lost, silent"
	// FaultGarbled sends bytes that are not an HTTP response, FaultCut truncates the answer.
	FaultGarbled Fault = "garbled"
	FaultCut     Fault = "cut"
	// FaultExtra sends one more answer after a complete one; FaultLateExtra sends it when the
	// next answer on the connection is due.
	FaultExtra     Fault = "extra"
	FaultLateExtra Fault = "late extra"
	FaultSlow      Fault = "slow"
	FaultError     Fault = "fail"
)

// Request is a request as a worker receives it. ClientClosed fires when the connection that it
// came on has been closed.
type Request struct {
	Method, Target, Host string
	Header               func(name string) string
	Body                 []byte
	ClientClosed         base.Signal
}

// ResponseWriter takes a worker's answer. A negative length means a chunked body.
type ResponseWriter interface {
	WriteHeader(status int, header [][2]string, length int) error
	Write(data []byte) error
	Finish() error
	// WriteRaw sends bytes without framing; WriteRawBeforeNext does so before the next answer.
	WriteRaw(data []byte) error
	WriteRawBeforeNext(data []byte)
	// Abort closes the connection, with a TCP reset if reset is set.
	Abort(reset bool)
}

// Worker is one run of a worker process of a service. It works on a limited number of requests
// at a time, queues a few more, marks requests that it rejects as not run, injects faults on
// demand, and records every request that reaches it. A plain worker answers with bytes, a
// model worker with a stream of events from its engine.
type Worker struct {
	ID        string
	Service   string
	Zone      string
	Address   string
	Clock     base.Clock
	Recorder  *Recorder
	Spec      ServiceSpec
	Slowdown  float64 // factor of the usual duration; 0 stands for 1
	KeepAlive time.Duration
	// Workload returns how long a request takes and how many bytes its answer has.
	Workload func(target string) (time.Duration, int)
	Rng      *rand.Rand
	// NextFault draws the fault of the next request.
	NextFault func() Fault
	// NextEndless draws an endless answer for the next request, or NoFault. It comes before
	// NextFault.
	NextEndless func() Fault
	// LyingHealth makes the health check succeed while the worker is unhealthy.
	LyingHealth bool

	mu         sync.Mutex
	draining   bool
	stopped    bool
	unhealthy  bool
	running    int
	waiting    []*slotWaiter
	lastSerial int
	engine     *engine
}

// slotWaiter is a request that waits for a slot.
type slotWaiter struct {
	granted base.Signal
	skipped bool
}

// Start prepares the worker, and must be called before it serves requests.
func (w *Worker) Start() {
	if w.Slowdown == 0 {
		w.Slowdown = 1
	}
	if w.Spec.Engine != nil {
		w.engine = newEngine(w.Clock, w.Spec, w.Slowdown)
	}
}

// Drain makes the worker close connections after its answers and fail its health check.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
}

// Stop records that the worker's process has ended: requests without a whole answer count as
// broken off by the worker itself.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.draining, w.stopped = true, true
	w.mu.Unlock()
}

func (w *Worker) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// SetHealthy sets what the worker's health check reports.
func (w *Worker) SetHealthy(healthy bool) {
	w.mu.Lock()
	w.unhealthy = !healthy
	w.mu.Unlock()
}

// Draining reports whether the worker is draining or has stopped.
func (w *Worker) Draining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

// Queued returns how many requests wait.
func (w *Worker) Queued() int {
	if w.engine != nil {
		_, waiting := w.engine.load()
		return waiting
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiting)
}

// loadHeader returns the running and waiting requests and the capacity.
func (w *Worker) loadHeader() string {
	if w.engine != nil {
		running, waiting := w.engine.load()
		return fmt.Sprintf("%d,%d,%d", running, waiting, w.Spec.Capacity)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", w.running, len(w.waiting), w.Spec.Capacity)
}

// drawFault draws what is random in a request: the fault and a fraction that the fault or the
// error rate uses. It also returns the next serial number.
func (w *Worker) drawFault() (fault Fault, fraction float64, serial int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.NextFault != nil {
		fault = w.NextFault()
	}
	if w.Rng != nil {
		fraction = w.Rng.Float64()
	}
	w.lastSerial++
	return fault, fraction, w.lastSerial
}

// acquireSlot takes a slot, waiting in the queue if needed. It returns false if the queue is
// full, or if the deadline passes or the client closes the connection first.
func (w *Worker) acquireSlot(deadline time.Duration, clientClosed base.Signal) bool {
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
	waiter := &slotWaiter{granted: w.Clock.NewSignal()}
	w.waiting = append(w.waiting, waiter)
	w.mu.Unlock()
	granted := waiter.granted.Wait(max(0, deadline-w.Clock.Now()))
	w.mu.Lock()
	defer w.mu.Unlock()
	if !granted && !waiter.granted.Fired() {
		waiter.skipped = true
		w.waiting = base.Filter(w.waiting, func(p *slotWaiter) bool { return p != waiter })
		return false
	}
	if clientClosed.Fired() {
		w.passSlotOn()
		return false
	}
	return true
}

// passSlotOn gives a slot to the first waiter, or frees it. The caller holds the lock.
func (w *Worker) passSlotOn() {
	for len(w.waiting) > 0 {
		first := w.waiting[0]
		w.waiting = w.waiting[1:]
		if !first.skipped {
			first.granted.Fire()
			return
		}
	}
	w.running--
}

func (w *Worker) releaseSlot() {
	w.mu.Lock()
	w.passSlotOn()
	w.mu.Unlock()
}

func (w *Worker) header(id string) [][2]string {
	header := [][2]string{}
	if id != "" {
		header = append(header, [2]string{HeaderID, id})
	}
	header = append(header, [2]string{HeaderLoad, w.loadHeader()})
	if w.Draining() {
		header = append(header, [2]string{"Connection", "close"})
	} else if w.KeepAlive > 0 {
		header = append(header, [2]string{"Keep-Alive", fmt.Sprintf("timeout=%d", int(w.KeepAlive.Seconds()))})
	}
	return header
}

func (w *Worker) writeResponse(reply ResponseWriter, status int, header [][2]string, body string) {
	if reply.WriteHeader(status, header, len(body)) == nil && reply.Write([]byte(body)) == nil {
		_ = reply.Finish()
	}
}

// Serve answers one request and records its arrival; health checks and engine reports aren't
// recorded.
func (w *Worker) Serve(request *Request, reply ResponseWriter) {
	path, _, _ := strings.Cut(request.Target, "?")
	switch {
	case request.Method == "GET" && path == PathHealth:
		w.serveHealth(request, reply)
		return
	case request.Method == "GET" && path == PathReport && w.engine != nil:
		w.writeResponse(reply, 200, [][2]string{{"Content-Type", "application/json"}}, w.engine.report())
		return
	}
	arrival := &Arrival{Worker: w.ID, Service: w.Service, ID: request.Header(HeaderID), Host: request.Host, Method: request.Method, Target: request.Target,
		Body: base.Digest(request.Body), At: w.Clock.Now()}
	arrival.After, _ = strconv.ParseInt(request.Header(HeaderLastEvent), 10, 64)
	w.Recorder.Update(func(r *Record) { r.Arrivals = append(r.Arrivals, arrival) })
	update := func(change func(a *Arrival)) { w.Recorder.Update(func(*Record) { change(arrival) }) }
	refuse := func(status int, extra ...[2]string) {
		update(func(a *Arrival) { a.Status, a.Ended = status, w.Clock.Now() })
		w.writeResponse(reply, status, append(w.header(arrival.ID), extra...), "")
	}
	if arrival.ID == "" {
		refuse(400, [2]string{HeaderNotRun, "1"})
		return
	}
	if expected := request.Header(HeaderExpectInstance); expected != "" && expected != w.ID {
		refuse(421, [2]string{HeaderInstance, w.ID})
		return
	}
	deadline := arrival.At + time.Hour
	if ms, err := strconv.ParseFloat(request.Header(HeaderDeadline), 64); err == nil {
		deadline = arrival.At + time.Duration(ms*float64(time.Millisecond))
	}
	if form, status, endless := w.endlessFault(); endless {
		w.serveEndless(form, status, reply, arrival, update)
		return
	}
	if w.engine != nil {
		w.serveStream(request, reply, arrival, deadline, update, refuse)
		return
	}
	if !w.acquireSlot(deadline, request.ClientClosed) {
		refuse(503, [2]string{HeaderNotRun, "1"})
		return
	}
	defer w.releaseSlot()
	w.servePlain(request, reply, arrival, deadline, update)
}

// serveHealth answers a health check. On a plain worker it needs a slot, like any request.
func (w *Worker) serveHealth(request *Request, reply ResponseWriter) {
	status := 200
	w.mu.Lock()
	if w.draining || w.unhealthy && !w.LyingHealth {
		status = 503
	}
	w.mu.Unlock()
	if w.engine == nil {
		if !w.acquireSlot(w.Clock.Now()+time.Second, request.ClientClosed) {
			w.writeResponse(reply, 503, append(w.header(""), [2]string{HeaderNotRun, "1"}), "")
			return
		}
		w.Clock.Sleep(time.Millisecond)
		w.releaseSlot()
	}
	w.writeResponse(reply, status, append(w.header(""), [2]string{HeaderInstance, w.ID}), "")
}

// newSeal returns the proof, unique to one run of a request, that this worker ran it.
func (w *Worker) newSeal(serial int, id string) string {
	return fmt.Sprintf("%s.%x.%s", w.ID, serial, base.Digest([]byte(id))[:8])
}

// servePlain runs a request of a plain worker, with its fault. It answers 504 if the deadline
// passes first.
func (w *Worker) servePlain(request *Request, reply ResponseWriter, arrival *Arrival, deadline time.Duration, update func(func(*Arrival))) {
	fault, fraction, serial := w.drawFault()
	seal := w.newSeal(serial, arrival.ID)
	duration, bodyLength := 50*time.Millisecond, 800
	if w.Workload != nil {
		duration, bodyLength = w.Workload(request.Target)
	}
	duration = time.Duration(float64(duration) * w.Slowdown)
	if fault == FaultSlow {
		duration *= 5
	}
	status := 200
	if fault == FaultError || fraction < w.errorRate(request.Target) {
		status = 500
	}
	startedAt := w.Clock.Now()
	if startedAt+duration > deadline {
		status, duration = 504, max(0, deadline-startedAt)
	}
	body := []byte(strings.Repeat(seal+" ", bodyLength/(len(seal)+1)+1))[:max(1, bodyLength)]
	update(func(a *Arrival) {
		a.Ran, a.Began, a.Status, a.Seal, a.Answer = true, startedAt, status, seal, base.Digest(body)
	})
	clientLeft := request.ClientClosed.Wait(duration)
	stopped := w.isStopped()
	update(func(a *Arrival) { a.Ended, a.Left, a.Broke = w.Clock.Now(), clientLeft && !stopped, stopped })
	if clientLeft || stopped {
		return
	}
	markBroken := func() { update(func(a *Arrival) { a.Broke = true }) }
	header := append(w.header(arrival.ID), [2]string{HeaderSeal, seal}, [2]string{"Content-Type", "application/octet-stream"})
	switch fault {
	case FaultLostReset:
		markBroken()
		reply.Abort(true)
		return
	case FaultLostSilent:
		markBroken()
		request.ClientClosed.Wait(time.Minute)
		reply.Abort(false)
		return
	case FaultGarbled:
		markBroken()
		_ = reply.WriteRaw([]byte("\x00\x17garbled " + seal + "\r\n\r\n"))
		reply.Abort(false)
		return
	case FaultCut:
		markBroken()
		_ = reply.WriteHeader(status, header, len(body))
		_ = reply.Write(body[:len(body)/2])
		reply.Abort(false)
		return
	}
	if reply.WriteHeader(status, header, len(body)) != nil || reply.Write(body) != nil {
		if w.isStopped() {
			markBroken()
		}
		return
	}
	update(func(a *Arrival) { a.Whole = true })
	if reply.Finish() != nil {
		return
	}
	w.sendExtraAnswer(reply, fault, arrival.ID)
}

// errorRate returns the share of a plain worker's requests that end with 500: one in 20 of those
// whose target contains n=7.
func (w *Worker) errorRate(target string) float64 {
	if w.engine != nil || !strings.Contains(target, "n=7") {
		return 0
	}
	return 0.05
}
