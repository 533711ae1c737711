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

// Workers are the simulated workers of a fleet, which are served over HTTP by this
// process.
type Workers struct {
	Clock         base.Clock
	Models        []*standin.Model
	Tools         []*standin.Tool
	List          worker.List
	servers       map[string]*http.Server
	answerTokens  int
	tokenInterval time.Duration
}

// StartWorkers starts all workers of the shape. Answers of models have answerTokens
// tokens, one per tokenInterval.
func (f *Fleet) StartWorkers(answerTokens int, tokenInterval time.Duration) (*Workers, error) {
	workers := &Workers{Clock: base.NewRealClock(), List: worker.List{Stamp: 1}, servers: map[string]*http.Server{}, answerTokens: answerTokens, tokenInterval: tokenInterval}
	for index := 0; index < f.Shape.ModelWorkers+f.Shape.ToolWorkers; index++ {
		pool, name := "models", fmt.Sprintf("model-%d", index+1)
		if index >= f.Shape.ModelWorkers {
			pool, name = "apps", fmt.Sprintf("app-%d", index-f.Shape.ModelWorkers+1)
		}
		info, err := f.startWorker(workers, pool, name)
		if err != nil {
			return nil, err
		}
		workers.List.Workers = append(workers.List.Workers, info)
	}
	return workers, nil
}

// startWorker starts a worker at a loopback address of its own. It does not add it to
// the worker list.
func (f *Fleet) startWorker(workers *Workers, pool, name string) (worker.Worker, error) {
	listener, err := net.Listen("tcp", f.nextLoopbackAddr()+":0")
	if err != nil {
		return worker.Worker{}, errors.Trace(err)
	}
	info := worker.Worker{ID: name, Pool: pool, Addr: listener.Addr().String(), Zone: f.Shape.Zones[f.hostCount%len(f.Shape.Zones)], Capacity: 16}
	var handler http.Handler
	if pool == "models" {
		model := &standin.Model{ID: name, Clock: workers.Clock, PiecesPerAnswer: workers.answerTokens, PieceInterval: workers.tokenInterval}
		workers.Models = append(workers.Models, model)
		handler = modelHandler(model)
	} else {
		tool := &standin.Tool{ID: name, Clock: workers.Clock, Delay: workers.tokenInterval}
		workers.Tools = append(workers.Tools, tool)
		handler = toolHandler(tool)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	workers.servers[name] = server
	return info, nil
}

// Stop closes the servers of all workers.
func (w *Workers) Stop() {
	for _, name := range base.SortedKeys(w.servers) {
		_ = w.servers[name].Close()
	}
}

// modelHandler serves a simulated model, which streams its answer as server-sent
// events.
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

// toolHandler serves a simulated tool. A tool call without an answer aborts the
// connection.
func toolHandler(tool *standin.Tool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, responseBody, answered := tool.Serve(r.Header.Get("Idempotency-Key"), body)
		if !answered {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(responseBody)
	})
}

// RequestSender returns a function that sends requests of callers to the gateways over
// HTTP.
func (f *Fleet) RequestSender() standin.RequestFunc {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	return func(gateway int, method, path string, header map[string]string, body []byte) (*standin.Response, error) {
		request, err := http.NewRequest(method, "http://"+f.Gateways[gateway%len(f.Gateways)].PublicAddr+path, bytes.NewReader(body))
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
		answer := &standin.Response{Status: response.StatusCode, Header: map[string]string{}}
		for name := range response.Header {
			answer.Header[strings.ToLower(name)] = response.Header.Get(name)
		}
		if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
			defer response.Body.Close()
			answer.Body, err = io.ReadAll(response.Body)
			return answer, err
		}
		answer.NextEvent = newEventReader(response.Body)
		return answer, nil
	}
}

// newEventReader returns a function that reads the next server-sent event. It closes
// the body and returns false at its end.
func newEventReader(body io.ReadCloser) func() (standin.Event, bool) {
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

// decodeCounters decodes the response of /counters. An invalid one gives no counters.
func decodeCounters(body []byte) map[string]int64 {
	counters := map[string]int64{}
	_ = json.Unmarshal(body, &counters)
	return counters
}

// SendRequest sends a request with an optional JSON body to a process, and returns the
// response.
func SendRequest(method, addr, path string, body any) (status int, responseBody []byte, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + addr + path)
	if body != nil {
		request.SetBody(base.MustMarshal(body))
	}
	err = fasthttp.DoTimeout(request, response, 20*time.Second)
	return response.StatusCode(), append([]byte(nil), response.Body()...), errors.Trace(err)
}

// CallJSON sends a request and decodes the response into target, unless that is nil.
// A status of 300 or more is an error.
func CallJSON(method, addr, path string, body, target any) error {
	status, responseBody, err := SendRequest(method, addr, path, body)
	if err != nil {
		return err
	}
	if status >= 300 {
		return errors.Errorf("%s %s: %d %s", method, path, status, responseBody)
	}
	if target == nil {
		return nil
	}
	return json.Unmarshal(responseBody, target)
}

// SetUp starts all processes, forms the cluster, applies the settings, waits until the
// gateways are ready, and uploads the worker list.
func (f *Fleet) SetUp(workers *Workers, timeout time.Duration) error {
	for _, process := range f.All() {
		if err := f.Start(process); err != nil {
			return err
		}
	}
	clock := base.NewRealClock()
	addrs := base.Map(f.Storage, func(process *Process) string { return process.Addr })
	if err := retry(clock, timeout, func() error { return initCluster(f.Cores[0].PublicAddr, addrs) }); err != nil {
		return err
	}
	if err := retry(clock, timeout, func() error {
		return CallJSON("POST", f.Cores[0].PublicAddr, "/v1/operator/settings/apply",
			map[string]any{"change": "first", "based_on": 0, "document": json.RawMessage(f.Shape.Settings())}, nil)
	}); err != nil {
		return err
	}
	if err := WaitUntilReady(f.Gateways, timeout); err != nil {
		return err
	}
	return retry(clock, timeout, func() error {
		return CallJSON("PUT", f.Gateways[0].PublicAddr, "/v1/platform/workers", workers.List, nil)
	})
}

// initCluster forms a cluster of blank disks. That there is one already means that an earlier call
// formed it, whose answer was lost.
func initCluster(core string, disks []string) error {
	status, body, err := SendRequest("POST", core, "/v1/operator/init", map[string]any{"disks": disks})
	var failure struct {
		Error base.RequestError `json:"error"`
	}
	switch {
	case err != nil:
		return err
	case status < 300:
		return nil
	case json.Unmarshal(body, &failure) == nil && failure.Error.Code == "cluster_exists":
		return nil
	}
	return errors.Errorf("form the cluster: %d %s", status, body)
}

// retry calls step until it succeeds or the deadline has passed, and returns its last
// error.
func retry(clock base.Clock, deadline time.Duration, step func() error) error {
	for {
		err := step()
		if err == nil || clock.Now() > deadline {
			return err
		}
		clock.Sleep(100 * time.Millisecond)
	}
}

// RunCallers runs callers concurrently and waits for them. Each of them holds one
// conversation after the other while continueWith returns true for the number of the
// next one. One conversation in four is long.
func (f *Fleet) RunCallers(tally *standin.Tally, callers, answerTokens int, thinkTime time.Duration, continueWith func(round int) bool) {
	var group sync.WaitGroup
	sendRequest := f.RequestSender()
	for number := 0; number < callers; number++ {
		group.Add(1)
		go func() {
			defer group.Done()
			for round := 0; continueWith(round); round++ {
				caller := &standin.Caller{Name: fmt.Sprintf("c-%d-%d", number, round), Clock: base.NewRealClock(), Send: sendRequest, Gateways: len(f.Gateways),
					Gateway: number % len(f.Gateways), Group: f.Shape.Group, Site: "main", PiecesPerTurn: answerTokens, TurnTimeout: 60 * time.Second, Tally: tally}
				if thinkTime > 0 {
					caller.AfterTurn = func(int) { caller.Clock.Sleep(time.Duration(caller.Clock.Int64N(int64(2 * thinkTime)))) }
				}
				turnCount := f.Shape.TurnCounts[0]
				if (number+round)%4 == 0 {
					turnCount = f.Shape.TurnCounts[1]
				}
				if caller.Start(int64(turnCount * answerTokens * 4)) {
					caller.RunConversation(turnCount, true)
				}
			}
		}()
	}
	group.Wait()
}
