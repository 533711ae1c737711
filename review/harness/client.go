// Clients and the operator.

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

// Answer is what a client got for one try.
type Answer struct {
	ID     string
	Status int // 0 where the connection gave none
	Header http.Header
	Body   string
	Events []string // the data of a stream's events
	Whole  bool
	Err    error
	Took   time.Duration
}

func (a *Answer) String() string {
	if a.Status == 0 {
		return fmt.Sprintf("no answer (%v)", a.Err)
	}
	text := fmt.Sprint(a.Status)
	if len(a.Events) > 0 {
		text += fmt.Sprintf(", %d events", len(a.Events))
	} else if len(a.Body) > 0 {
		text += " " + strings.TrimSpace(a.Body[:min(len(a.Body), 160)])
	}
	if !a.Whole {
		text += fmt.Sprintf(", not whole (%v)", a.Err)
	}
	return text
}

// newID makes an Attempt-Id of a form that the pages show.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Ask is one try of a client.
type Ask struct {
	ID, Method, Path, Body     string
	Program, Session, Previous string
	Budget, Most               int
	Deadline, Finish           time.Duration
	GiveUpAfter                time.Duration // the client closes then
	Chunked                    bool
	Extra                      map[string]string
}

// Send makes a try at an edge machine, on a new connection.
func (a *Ask) Send(record *Record, m *Machine) *Answer {
	began := time.Now()
	deadline := a.Deadline
	if deadline == 0 {
		deadline = 6 * time.Second
	}
	limit := deadline
	if a.GiveUpAfter > 0 {
		limit = a.GiveUpAfter
	}
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	if a.ID == "" {
		a.ID = newID()
	}
	method := a.Method
	if method == "" {
		method = "POST"
	}
	var body io.Reader = strings.NewReader(a.Body)
	if a.Chunked {
		body = struct{ io.Reader }{body}
	}
	if a.Body == "" {
		body = nil
	}
	request, err := http.NewRequest(method, "http://"+m.Front()+a.Path, body)
	if err != nil {
		return &Answer{ID: a.ID, Err: err}
	}
	request.Host = host
	set := func(name, value string) {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	set("Attempt-Id", a.ID)
	set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	set("Program-Id", a.Program)
	set("Session-Id", a.Session)
	set("Previous-Turn", a.Previous)
	if a.Finish > 0 {
		set("Finish-Ms", fmt.Sprint(a.Finish.Milliseconds()))
	}
	if a.Budget > 0 {
		set("Token-Budget", fmt.Sprint(a.Budget))
	}
	if a.Most > 0 {
		set("Model", "m")
		set("Token-Count", fmt.Sprintf("%d,%d", max(1, len(a.Body)), a.Most))
		set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:8,%s:%d", a.ID[:8], max(1, len(a.Body))))
	}
	for name, value := range a.Extra {
		set(name, value)
	}
	got := a.read(client, request)
	got.Took = time.Since(began)
	record.Say("client %s %s %s at %s program %s session %s previous %s -> %s after %d ms", a.ID, method, a.Path, m.Name,
		orDash(a.Program), orDash(a.Session), orDash(a.Previous), got, got.Took.Milliseconds())
	return got
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func (a *Ask) read(client http.Client, request *http.Request) *Answer {
	got := &Answer{ID: a.ID}
	answer, err := client.Do(request)
	if err != nil {
		got.Err = err
		return got
	}
	defer func() { _ = answer.Body.Close() }()
	got.Status, got.Header = answer.StatusCode, answer.Header
	if strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		lines := bufio.NewReader(answer.Body)
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				got.Whole = err == io.EOF
				if !got.Whole {
					got.Err = err
				}
				return got
			}
			if data, ok := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "data: "); ok {
				got.Events = append(got.Events, data)
			}
		}
	}
	body, err := io.ReadAll(answer.Body)
	got.Body, got.Err, got.Whole = string(body), err, err == nil
	return got
}

// Pause is how long a client waits before it sends a turn again: what the answer
// asks for, and at least what the pages say of turns that failed.
func (a *Answer) Pause() time.Duration {
	pause := 400 * time.Millisecond
	if after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil {
		pause = max(pause, time.Duration(after*float64(time.Second)))
	}
	return pause
}

// said is what a turn that was answered whole adds to its line.
func said(input string, events []string) string {
	text := input
	for _, one := range events {
		text += one + "\n"
	}
	return text
}

// RouteSpec is one route of a configuration.
type RouteSpec struct {
	Name, Prefix, Kind, Service string
	DeadlineMs, TargetMs        int
	Tries                       int
	Retained                    bool
	RetainS                     float64
}

// Config is a configuration of the small deployment.
func Config(version int, routes []RouteSpec) []byte {
	return configOf(version, routes, "agent", "backend", "backend2")
}

// configOf writes a configuration with some services.
func configOf(version int, routes []RouteSpec, services ...string) []byte {
	list := []map[string]any{}
	for _, r := range routes {
		one := map[string]any{"name": r.Name, "hostname": host, "path_prefix": r.Prefix, "route_kind": r.Kind, "deadline_ms": r.DeadlineMs, "target_ms": r.TargetMs,
			"urgency": 1, "backend": r.Service, "max_tries": r.Tries, "retained": r.Retained, "pinned": r.Kind == "streaming", "resumable": false}
		if r.Retained {
			one["retain_s"] = r.RetainS
		}
		if r.Kind == "streaming" {
			one["gap_target_ms"] = 400
		}
		list = append(list, one)
	}
	backends := []map[string]any{}
	for _, name := range services {
		one := map[string]any{"name": name, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}
		if strings.HasPrefix(name, "agent") {
			one["max_conns"] = 480
			one["engine"] = map[string]any{"capacity": 96, "cache_tokens": 257309, "token_kv_bytes": 131072, "link_mbps": 550000.0, "stream_stride": stride,
				"model_list": []map[string]any{{"name": "m"}}}
		}
		backends = append(backends, one)
	}
	document, _ := json.Marshal(map[string]any{"generation": version, "route_table": list, "backends": backends,
		"limits": map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_read_ms": 3000, "idle_ms": 15000}})
	return document
}

// usualRoutes are a kept line of turns, a call that may be repeated and one that
// may not.
func usualRoutes() []RouteSpec {
	return []RouteSpec{
		{Name: "r-talk", Prefix: "/talk/", Kind: "streaming", Service: "agent", DeadlineMs: 6000, TargetMs: 250, Tries: 2, Retained: true, RetainS: 60},
		{Name: "r-push", Prefix: "/push/", Kind: "idempotent", Service: "backend", DeadlineMs: 1500, TargetMs: 250, Tries: 2},
		{Name: "r-post", Prefix: "/post/", Kind: "non_idempotent", Service: "backend", DeadlineMs: 6000, TargetMs: 800, Tries: 1},
	}
}

var operatorTurn atomic.Int64

// Put sends a configuration until it is acknowledged or refused.
func (f *Fleet) Put(version, former int, document []byte, limit time.Duration) (status int, err error) {
	cores := f.Of("core")
	for end := time.Now().Add(limit); ; {
		core := cores[int(operatorTurn.Add(1))%len(cores)]
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		request, _ := http.NewRequest("PUT", "http://"+core.Control()+"/fordseam/config", bytes.NewReader(document))
		request.Header.Set("If-Match", fmt.Sprint(former))
		request.Header.Set("Content-Type", "application/json")
		answer, err := client.Do(request)
		if err == nil {
			said, _ := io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			f.record.Say("operator PUT version %d on %d at %s -> %d %s", version, former, core.Name, answer.StatusCode, strings.TrimSpace(string(said)))
			if answer.StatusCode < 500 && answer.StatusCode != 408 && answer.StatusCode != 429 {
				return answer.StatusCode, nil
			}
		} else {
			f.record.Say("operator PUT version %d on %d at %s -> %v", version, former, core.Name, err)
		}
		if time.Now().After(end) {
			return 0, fmt.Errorf("version %d was not acknowledged within %s", version, limit)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// System is a fleet that serves, with its platform.
type System struct {
	*Fleet
	Platform *Platform
	Record   *Record
}

// Begin starts everything and waits until the first configuration is in force.
func Begin(record *Record, edges, cores, stores int) (*System, error) {
	fleet, err := NewFleet(record, edges, cores, stores)
	if err != nil {
		return nil, err
	}
	s := &System{Fleet: fleet, Record: record}
	if s.Platform, err = NewPlatform(fleet, record); err != nil {
		return s, err
	}
	for n := 0; n < 3; n++ {
		if _, err = s.Platform.Add("agent", zones[n], 96, true, 20*time.Millisecond, 8); err != nil {
			return s, err
		}
		if _, err = s.Platform.Add("backend", zones[n], 24, false, 40*time.Millisecond, 0); err != nil {
			return s, err
		}
	}
	if err = fleet.StartAll(); err != nil {
		return s, err
	}
	status, err := fleet.Put(1, 0, Config(1, usualRoutes()), 20*time.Second)
	if err != nil || status != 200 {
		return s, fmt.Errorf("the first configuration: %d %w", status, err)
	}
	if err = fleet.AwaitReady(20 * time.Second); err != nil {
		return s, err
	}
	return s, s.warm(10 * time.Second)
}

// warm asks every edge machine until it serves a plain request and a turn.
func (s *System) warm(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range s.Of("edge") {
		for {
			plain := (&Ask{Method: "GET", Path: "/push/warm", Deadline: 1500 * time.Millisecond}).Send(s.Record, m)
			turn := (&Ask{Path: "/talk/warm", Body: "hello\n", Program: newID()[:6], Session: newID()[:6], Budget: 1000, Most: 16}).Send(s.Record, m)
			if plain.Status == 200 && turn.Status == 200 && turn.Whole {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve: %v, %v", m.Name, plain, turn)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}
