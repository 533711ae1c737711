// The platform's list of workers, and workers that behave as the pages say.

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one request that a worker began to work on.
type Run struct {
	ID, Worker, Service, Method, Path, Body string
	At                                      time.Time
	Whole                                   bool // answered to its end
	Gone                                    bool // its connection ended first
}

// Platform has the list of workers and what they ran.
type Platform struct {
	record  *Record
	fleet   *Fleet
	mu      sync.Mutex
	workers []*Worker
	runs    []*Run
	byID    map[string][]*Run
	serial  int
}

// Worker is one life of a worker.
type Worker struct {
	ID, Service, Addr, Zone string
	Capacity                int
	Draining                bool
	Model                   bool
	Pause                   time.Duration // between events, or a plain request's work
	Events                  int           // of a stream, where the request does not ask for less
	First                   time.Duration // how long a stream's prompt is read or waits for a slot
	platform                *Platform
	server                  *http.Server
	busy                    atomic.Int64
	// Behave, when set, may answer in the worker's place; it says whether it did.
	Behave func(w *Worker, r *http.Request, body []byte, answer http.ResponseWriter) bool
}

// NewPlatform begins to serve the list.
func NewPlatform(fleet *Fleet, record *Record) (*Platform, error) {
	p := &Platform{record: record, fleet: fleet, byID: map[string][]*Run{}}
	listener, err := fleet.listen(1)
	if err != nil {
		return nil, err
	}
	fleet.API = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.list)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return p, nil
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := []map[string]any{}
	for _, one := range p.workers {
		if zone := r.URL.Query().Get("zone"); zone != "" && zone != one.Zone {
			continue
		}
		state := "ready"
		if one.Draining {
			state = "draining"
		}
		found = append(found, map[string]any{"id": one.ID, "backend": one.Service, "address": one.Addr, "zone": one.Zone, "generation": "v1",
			"capacity": one.Capacity, "state": state, "cold_left_ms": 0})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": found, "next_token": nil})
}

// Add starts a worker and lists it.
func (p *Platform) Add(service, zone string, capacity int, model bool, pause time.Duration, events int) (*Worker, error) {
	p.mu.Lock()
	p.serial++
	place := p.serial
	p.mu.Unlock()
	listener, err := p.fleet.listen(10 + place)
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: fmt.Sprintf("i-%08x", 0x1000+place), Service: service, Addr: listener.Addr().String(), Zone: zone, Capacity: capacity, Model: model,
		Pause: pause, Events: events, platform: p}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	p.mu.Lock()
	p.workers = append(p.workers, w)
	p.mu.Unlock()
	return w, nil
}

// Runs gives what was run under an id.
func (p *Platform) Runs(id string) []*Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*Run(nil), p.byID[id]...)
}

// begin notes a run.
func (w *Worker) begin(r *http.Request, body []byte) *Run {
	run := &Run{ID: r.Header.Get("Attempt-Id"), Worker: w.ID, Service: w.Service, Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), At: time.Now()}
	w.platform.mu.Lock()
	w.platform.runs = append(w.platform.runs, run)
	w.platform.byID[run.ID] = append(w.platform.byID[run.ID], run)
	w.platform.mu.Unlock()
	w.platform.record.Say("worker %s (%s) runs %s: %s %s, %d bytes", w.ID, w.Service, run.ID, run.Method, run.Path, len(body))
	return run
}

func (w *Worker) end(run *Run, whole bool) {
	w.platform.mu.Lock()
	run.Whole, run.Gone = whole, !whole
	w.platform.mu.Unlock()
}

// ServeHTTP answers one request.
func (w *Worker) ServeHTTP(answer http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		answer.Header().Set("Instance-Id", w.ID)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		answer.Header().Set("Attempt-Id", id)
	}
	refuse := func(status int) {
		answer.Header().Set("Not-Run", "1")
		answer.WriteHeader(status)
	}
	switch expected := r.Header.Get("Expect-Instance"); {
	case expected != "" && expected != w.ID:
		answer.Header().Set("Instance-Id", w.ID)
		answer.WriteHeader(421)
		return
	case id == "":
		refuse(400)
		return
	}
	if w.busy.Add(1) > int64(w.Capacity) {
		w.busy.Add(-1)
		refuse(503)
		return
	}
	defer w.busy.Add(-1)
	if w.Behave != nil && w.Behave(w, r, body, answer) {
		return
	}
	run := w.begin(r, body)
	answer.Header().Set("Server-Seal", w.ID+"."+id)
	answer.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", w.busy.Load(), w.Capacity))
	if !w.Model {
		w.plain(answer, r, run)
		return
	}
	w.stream(answer, r, run)
}

func (w *Worker) plain(answer http.ResponseWriter, r *http.Request, run *Run) {
	select {
	case <-time.After(w.Pause):
	case <-r.Context().Done():
		w.end(run, false)
		return
	}
	said := []byte("done " + run.ID + " by " + w.ID + "\n")
	answer.Header().Set("Content-Length", strconv.Itoa(len(said)))
	_, _ = answer.Write(said)
	w.end(run, true)
}

// stream puts out events until the most that the request names. A script asks
// for fewer, or for slower ones, in the path's query.
func (w *Worker) stream(answer http.ResponseWriter, r *http.Request, run *Run) {
	answer.Header().Set("Content-Type", "text/event-stream")
	answer.Header().Set("Weight-Versions", "1")
	events, pause := w.Events, w.Pause
	if _, most, ok := strings.Cut(r.Header.Get("Token-Count"), ","); ok {
		if n, err := strconv.Atoi(strings.TrimSpace(most)); err == nil {
			events = min(events, n/stride)
		}
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("events")); err == nil {
		events = n
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("pause")); err == nil {
		pause = time.Duration(n) * time.Millisecond
	}
	for n := 1; n <= events; n++ {
		if n == 1 {
			time.Sleep(w.First)
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			w.end(run, false)
			return
		}
		if _, err := fmt.Fprintf(answer, "id: %d\ndata: %s\n\n", n, eventData(run.ID, n)); err != nil {
			w.end(run, false)
			return
		}
		answer.(http.Flusher).Flush()
	}
	w.end(run, true)
}

// stride is how many tokens an event holds.
const stride = 2

func eventData(id string, n int) string { return fmt.Sprintf("%s word %d", id, n) }

// reset ends a worker's connection without an answer.
func reset(answer http.ResponseWriter) {
	if hijacker, ok := answer.(http.Hijacker); ok {
		if held, _, err := hijacker.Hijack(); err == nil {
			if tcp, ok := held.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = held.Close()
		}
	}
}
