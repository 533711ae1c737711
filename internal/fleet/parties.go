// The stand-in workers and callers over real HTTP.
package fleet

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin"
	"fordseam/internal/worker"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Parties are a fleet's workers.
type Parties struct {
	Clock     base.Clock
	Models    []*standin.Model
	Tools     []*standin.Tool
	List      worker.List
	listeners []net.Listener
	servers   []*http.Server
}

// StartParties opens all workers of a shape.
func (f *Fleet) StartParties(pieces int, gap time.Duration) (*Parties, error) {
	parties := &Parties{Clock: base.NewRealClock(), List: worker.List{Stamp: 1}}
	for place := 0; place < f.Shape.Models+f.Shape.Tools; place++ {
		f.machines++
		host := fmt.Sprintf("127.%d.%d.%d", 10+f.network/250%200, 1+f.network%250, f.machines)
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, errors.Trace(err)
		}
		one := worker.Worker{Addr: listener.Addr().String(), Zone: f.Shape.Zones[place%len(f.Shape.Zones)], Capacity: 16}
		var handler http.Handler
		if place < f.Shape.Models {
			one.ID, one.Pool = fmt.Sprintf("model-%d", place+1), "models"
			model := &standin.Model{ID: one.ID, Clock: parties.Clock, Pieces: pieces, Gap: gap}
			parties.Models = append(parties.Models, model)
			handler = modelHandler(model)
		} else {
			one.ID, one.Pool = fmt.Sprintf("app-%d", place-f.Shape.Models+1), "apps"
			tool := &standin.Tool{ID: one.ID, Clock: parties.Clock, Pause: gap}
			parties.Tools = append(parties.Tools, tool)
			handler = toolHandler(tool)
		}
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(listener) }()
		parties.listeners, parties.servers = append(parties.listeners, listener), append(parties.servers, server)
		parties.List.Workers = append(parties.List.Workers, one)
	}
	return parties, nil
}

// Stop closes the workers.
func (p *Parties) Stop() {
	for _, server := range p.servers {
		_ = server.Close()
	}
}

func modelHandler(model *standin.Model) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		model.Serve(body, func(status int) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(status)
		}, func(line string) error {
			if _, err := io.WriteString(w, line); err != nil {
				return err
			}
			w.(http.Flusher).Flush()
			return r.Context().Err()
		})
	})
}

func toolHandler(tool *standin.Tool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, answer, answered := tool.Serve(r.Header.Get("Idempotency-Key"), body)
		if !answered {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(answer)
	})
}

// Asker sends callers' requests to the fleet's gateways.
func (f *Fleet) Asker() standin.Asker {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	return func(gateway int, method, path string, header map[string]string, body []byte) (*standin.Answer, error) {
		request, err := http.NewRequest(method, "http://"+f.Edges[gateway%len(f.Edges)].Public+path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		for name, value := range header {
			request.Header.Set(name, value)
		}
		response, err := client.Do(request)
		if err != nil {
			return nil, err
		}
		answer := &standin.Answer{Status: response.StatusCode, Header: map[string]string{}}
		for name := range response.Header {
			answer.Header[strings.ToLower(name)] = response.Header.Get(name)
		}
		if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
			defer response.Body.Close()
			answer.Body, err = io.ReadAll(response.Body)
			return answer, err
		}
		answer.NextEvent = eventsOf(response.Body)
		return answer, nil
	}
}

// eventsOf reads server-sent events line by line.
func eventsOf(body io.ReadCloser) func() (standin.Event, bool) {
	reader := bufio.NewReader(body)
	return func() (standin.Event, bool) {
		var event standin.Event
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				_ = body.Close()
				return standin.Event{}, false
			}
			name, value, _ := strings.Cut(strings.TrimRight(line, "\n"), ": ")
			switch {
			case line == "\n" && event.Kind != "":
				return event, true
			case name == "id":
				event.ID = value
			case name == "event":
				event.Kind = value
			case name == "data":
				event.Data = []byte(value)
			}
		}
	}
}

func readCounters(body []byte) map[string]int64 {
	counters := map[string]int64{}
	_ = json.Unmarshal(body, &counters)
	return counters
}

// Send makes one plain exchange with a process.
func Send(method, addr, path string, body, into any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + addr + path)
	if body != nil {
		request.SetBody(base.Encode(body))
	}
	if err := fasthttp.DoTimeout(request, response, 20*time.Second); err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode() >= 300 {
		return errors.Errorf("%s %s: %d %s", method, path, response.StatusCode(), response.Body())
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(response.Body(), into)
}

// Form starts all processes, forms the cluster, applies the settings and
// gives the worker list, and waits until the gateways serve.
func (f *Fleet) Form(parties *Parties, limit time.Duration) error {
	for _, p := range f.All() {
		if err := f.Start(p); err != nil {
			return err
		}
	}
	clock := base.NewRealClock()
	addrs := base.Map(f.Storage, func(p *Process) string { return p.Addr })
	if err := retry(clock, limit, func() error {
		return Send("POST", f.Cores[0].Public, "/v1/operator/init", map[string]any{"disks": addrs}, nil)
	}); err != nil {
		return err
	}
	if err := retry(clock, limit, func() error {
		return Send("POST", f.Cores[0].Public, "/v1/operator/settings/apply",
			map[string]any{"change": "first", "based_on": 0, "document": json.RawMessage(f.Shape.Settings())}, nil)
	}); err != nil {
		return err
	}
	if err := AwaitReady(f.Edges, limit); err != nil {
		return err
	}
	return retry(clock, limit, func() error {
		return Send("PUT", f.Edges[0].Public, "/v1/platform/workers", parties.List, nil)
	})
}

func retry(clock base.Clock, limit time.Duration, step func() error) error {
	for {
		err := step()
		if err == nil || clock.Now() > limit {
			return err
		}
		clock.Sleep(100 * time.Millisecond)
	}
}

// Load runs many callers at once until each is done.
func (f *Fleet) Load(tally *standin.Tally, callers, conversations, pieces int, name string) {
	var group sync.WaitGroup
	ask := f.Asker()
	for caller := 0; caller < callers; caller++ {
		group.Add(1)
		go func() {
			defer group.Done()
			for round := 0; round < conversations; round++ {
				c := &standin.Caller{Name: fmt.Sprintf("%s-%d-%d", name, caller, round), Clock: base.NewRealClock(), Ask: ask, Gateways: len(f.Edges),
					Home: caller % len(f.Edges), Group: f.Shape.Group, Site: "main", Pieces: pieces, Patience: 60 * time.Second, Tally: tally}
				turns := f.Shape.Turns[0]
				if (caller+round)%4 == 0 {
					turns = f.Shape.Turns[1]
				}
				if c.Start(int64(turns * pieces * 4)) {
					c.Converse(turns, true)
				}
			}
		}()
	}
	group.Wait()
}
