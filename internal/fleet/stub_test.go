package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"
)

// TestMain runs the tests, or the stub if the test binary was started as one. The stub
// is a small system that implements the platform's protocol: one core machine keeps all
// state in files, and the edge machines ask it. It is slow and does not survive the loss
// of that core's disk, but it follows the rules. With the option "sinful" it violates
// them, which shows that the checks detect violations by real processes.
func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "stub" {
		runStub(os.Args[2], os.Args[3:])
		return
	}
	os.Exit(m.Run())
}

// readStubSettings parses the parts of the settings file that the stub needs. Fields
// below platform_api get the prefix list_.
func readStubSettings() (settings map[string]string, seeds []string) {
	raw, err := os.ReadFile(os.Getenv(platform.SettingsVariable))
	if err != nil {
		panic(err)
	}
	settings = map[string]string{}
	section := ""
	for _, line := range strings.Split(string(raw), "\n") {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		value = strings.Trim(value, `"`)
		if item, found := strings.CutPrefix(strings.TrimSpace(line), "- "); found && section == "seed_nodes" {
			seeds = append(seeds, strings.Trim(item, `"`))
		}
		if strings.HasSuffix(line, ":") {
			section = strings.TrimSuffix(line, ":")
		}
		if section == "platform_api" && strings.HasPrefix(line, "  ") {
			name = "list_" + name
		}
		settings[name] = value
	}
	return settings, seeds
}

// runStub runs the stub as a machine of the given class until SIGTERM.
func runStub(class string, options []string) {
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	signal.Ignore(syscall.SIGHUP)
	settings, seeds := readStubSettings()
	switch class {
	case platform.ClassCore:
		(&stubCore{faulty: slices.Contains(options, "sinful")}).run(settings, seeds, terminate)
	case platform.ClassEdge:
		(&stubEdge{faulty: slices.Contains(options, "sinful")}).run(settings, seeds, terminate)
	default:
		<-terminate
	}
}

// stubCore is a core machine. It keeps the configuration, each turn's chain and each
// program's spent budget in a file of its own.
type stubCore struct {
	faulty bool
	mu     sync.Mutex
	files  map[string][]byte
	dir    string
}

// writeFile atomically replaces a file of the core's state.
func (c *stubCore) writeFile(name string, value []byte) {
	c.files[name] = value
	path := filepath.Join(c.dir, name)
	_ = os.WriteFile(path+".new", value, 0o600)
	_ = os.Rename(path+".new", path)
}

const stubConfigFile = "config"

// run loads the state and serves the control API. Cores other than the first redirect
// to it.
func (c *stubCore) run(settings map[string]string, seeds []string, terminate chan os.Signal) {
	c.dir, c.files = settings["data_dir"], map[string][]byte{}
	entries, _ := os.ReadDir(c.dir)
	for _, entry := range entries {
		if value, err := os.ReadFile(filepath.Join(c.dir, entry.Name())); err == nil && !strings.HasSuffix(entry.Name(), ".new") {
			c.files[entry.Name()] = value
		}
	}
	controlAddr := settings["control"]
	server := &http.Server{Addr: controlAddr, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if controlAddr != seeds[0] {
			w.Header().Set("Location", "http://"+seeds[0]+r.URL.RequestURI())
			w.WriteHeader(307)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, responseBody := c.serve(r, body)
		w.WriteHeader(status)
		_, _ = w.Write(responseBody)
	})}
	go func() { _ = server.ListenAndServe() }()
	<-terminate
	_ = server.Shutdown(context.Background())
}

// serve handles configuration requests of operators and edges, and the edges' requests
// under /stub/ to load and store turns and to reserve tokens.
func (c *stubCore) serve(r *http.Request, body []byte) (status int, responseBody []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	query := r.URL.Query()
	intParam := func(name string) int64 {
		value, _ := strconv.ParseInt(query.Get(name), 10, 64)
		return value
	}
	switch r.Method + " " + r.URL.Path {
	case "GET " + platform.PathConfig:
		if c.files[stubConfigFile] == nil {
			return 503, nil
		}
		return 200, c.files[stubConfigFile]
	case "PUT " + platform.PathConfig:
		return c.putConfig(r.Header.Get(platform.HeaderIfMatch), body), nil
	case "GET /stub/turn":
		if chain, ok := c.files["turn-"+query.Get("id")]; ok {
			return 200, chain
		}
		return 404, nil
	case "POST /stub/turn":
		c.writeFile("turn-"+query.Get("id"), body)
		return 200, nil
	case "POST /stub/reserve":
		name := "program-" + query.Get("program")
		reserved, _ := strconv.ParseInt(string(c.files[name]), 10, 64)
		if reserved+intParam("most") > intParam("budget") && !c.faulty {
			return 402, nil
		}
		c.writeFile(name, strconv.AppendInt(nil, reserved+intParam("most"), 10))
		return 200, nil
	}
	if strings.HasPrefix(r.URL.Path, platform.PathRetire) {
		return 200, []byte(`{"state":"complete"}`)
	}
	return 404, nil
}

// putConfig stores a valid configuration that is based on the current one, and returns
// the status. A faulty core also stores an invalid one that it can parse.
func (c *stubCore) putConfig(match string, body []byte) int {
	config, err := parseStubConfig(body)
	current := platform.GenerationOf(c.files[stubConfigFile])
	switch {
	case err == nil && platform.SameDocument(body, c.files[stubConfigFile]):
		return 200
	case err != nil || config.InvalidReason(0) != "":
		if c.faulty && config != nil {
			c.writeFile(stubConfigFile, body)
			return 200
		}
		return 400
	case match != strconv.FormatUint(current, 10):
		return 412
	case config.InvalidReason(current) != "":
		return 400
	}
	c.writeFile(stubConfigFile, body)
	return 200
}

// parseStubConfig parses the parts of a configuration that the stub uses. It turns the
// panics of failed type assertions into errors.
func parseStubConfig(raw []byte) (config *platform.Config, err error) {
	defer func() {
		if failure := recover(); failure != nil {
			config, err = nil, fmt.Errorf("%v", failure)
		}
	}()
	tree, err := platform.ParseJSON(raw)
	if err != nil {
		return nil, err
	}
	stringField := func(object map[string]any, name string) string { s, _ := object[name].(string); return s }
	numberField := func(object map[string]any, name string) float64 { f, _ := object[name].(float64); return f }
	document := tree.(map[string]any)
	config = &platform.Config{Generation: uint64(numberField(document, "generation"))}
	for _, item := range document["route_table"].([]any) {
		object := item.(map[string]any)
		route := platform.Route{Name: stringField(object, "name"), Host: stringField(object, "hostname"), Prefix: stringField(object, "path_prefix"), Kind: platform.Kind(stringField(object, "route_kind")),
			DeadlineMs: numberField(object, "deadline_ms"), Service: stringField(object, "backend"), MaxTries: int(numberField(object, "max_tries"))}
		route.Retained, _ = object["retained"].(bool)
		shares, _ := object["shares"].([]any)
		for _, share := range shares {
			route.Shares = append(route.Shares, platform.Share{Service: stringField(share.(map[string]any), "backend"), Weight: int(numberField(share.(map[string]any), "share"))})
		}
		config.Routes = append(config.Routes, route)
	}
	for _, item := range document["backends"].([]any) {
		config.Services = append(config.Services, platform.Service{Name: stringField(item.(map[string]any), "name")})
	}
	return config, nil
}

// stubWorker is a worker of the platform's worker list.
type stubWorker struct{ id, service, address string }

// stubEdge is an edge machine. It serves clients' requests.
type stubEdge struct {
	faulty      bool
	coreAddr    string
	listAddr    string
	mu          sync.Mutex
	config      *platform.Config
	confirmedAt time.Time
	workers     []stubWorker
	draining    atomic.Bool
}

var stubClient = &http.Client{Timeout: time.Second}

// sendStubRequest sends a request to another machine. The status is 0 if there is no
// complete response.
func sendStubRequest(method, target string, body []byte) (status int, responseBody []byte) {
	request, err := http.NewRequest(method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := stubClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if responseBody, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, responseBody
}

// run serves clients and the readiness check until SIGTERM. A faulty edge then exits
// without completing its requests.
func (e *stubEdge) run(settings map[string]string, seeds []string, terminate chan os.Signal) {
	e.coreAddr, e.listAddr = seeds[0], settings["list_address"]
	go e.pollConfig()
	go e.pollWorkers()
	go func() {
		_ = http.ListenAndServe(settings["readiness"], http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if e.currentConfig() == nil || e.draining.Load() {
				w.WriteHeader(503)
			}
		}))
	}()
	server := &http.Server{Addr: settings["front"], Handler: http.HandlerFunc(e.serve)}
	go func() { _ = server.ListenAndServe() }()
	<-terminate
	e.draining.Store(true)
	if e.faulty {
		os.Exit(0)
	}
	_ = server.Shutdown(context.Background())
}

// pollConfig reads the configuration from the core several times per second. A faulty
// edge keeps the first one.
func (e *stubEdge) pollConfig() {
	for {
		requestedAt := time.Now()
		if status, raw := sendStubRequest("GET", "http://"+e.coreAddr+platform.PathConfig, nil); status == 200 {
			config, err := parseStubConfig(raw)
			e.mu.Lock()
			if err == nil && (e.config == nil || !e.faulty) {
				e.config = config
			}
			e.confirmedAt = requestedAt
			e.mu.Unlock()
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// pollWorkers reads the worker list several times per second. A faulty edge also uses
// workers that are not ready.
func (e *stubEdge) pollWorkers() {
	for {
		var workers []stubWorker
		status, token := 0, ""
		for {
			var raw []byte
			status, raw = sendStubRequest("GET", "http://"+e.listAddr+platform.PathInstances+"?page_token="+token, nil)
			if status != 200 {
				break
			}
			var page struct {
				Instances []struct{ ID, Backend, Address, State string }
				Next      *string `json:"next_token"`
			}
			_ = json.Unmarshal(raw, &page)
			for _, instance := range page.Instances {
				if instance.State == platform.StateReady || e.faulty {
					workers = append(workers, stubWorker{instance.ID, instance.Backend, instance.Address})
				}
			}
			if page.Next == nil {
				break
			}
			token = *page.Next
		}
		if status == 200 {
			e.mu.Lock()
			e.workers = workers
			e.mu.Unlock()
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// currentConfig returns the configuration, or nil if the core has not confirmed it
// within 1.2 s.
func (e *stubEdge) currentConfig() *platform.Config {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.confirmedAt) > 1200*time.Millisecond {
		return nil
	}
	return e.config
}

// chooseWorker returns a random worker of the route's service, or of the first service
// that shares the route.
func (e *stubEdge) chooseWorker(route *platform.Route) (stubWorker, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	service := route.Service
	if len(route.Shares) > 0 {
		service = route.Shares[0].Service
	}
	candidates := base.Filter(e.workers, func(w stubWorker) bool { return w.service == service })
	if len(candidates) == 0 {
		return stubWorker{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// hasFault reports whether a faulty edge has the named fault for a request.
func (e *stubEdge) hasFault(r *http.Request, name string) bool {
	faults := []string{"seal", "skip", "body", "twice", "refuse", "forget"}
	return e.faulty && faults[base.Hash64(r.Header.Get(platform.HeaderID))%uint64(2*len(faults))%uint64(len(faults))] == name
}

// sendRefusal sends a response without a body that lets the client retry.
func (e *stubEdge) sendRefusal(w http.ResponseWriter, status int) {
	w.Header().Set(platform.HeaderRetryAfter, "0.1")
	w.WriteHeader(status)
}

// serve handles a client's request. It retries with other workers only while the
// request has not run.
func (e *stubEdge) serve(w http.ResponseWriter, r *http.Request) {
	requestBody, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	config := e.currentConfig()
	if config == nil {
		e.sendRefusal(w, 503)
		return
	}
	route := config.Match(r.Host, r.RequestURI)
	if route == nil {
		w.WriteHeader(404)
		return
	}
	body := requestBody
	if route.Retained {
		var status int
		if body, status = e.prepareTurn(r, requestBody); status != 200 {
			e.sendRefusal(w, status)
			return
		}
	}
	if e.hasFault(r, "body") && len(body) > 0 {
		body = append(slices.Clone(body), '!')
	}
	for range max(1, route.MaxTries) {
		worker, ok := e.chooseWorker(route)
		if !ok {
			break
		}
		conn, err := net.DialTimeout("tcp", worker.address, 300*time.Millisecond)
		if err != nil {
			continue
		}
		answered := e.relay(w, r, conn, worker, route, body)
		_ = conn.Close()
		if answered {
			return
		}
	}
	e.sendRefusal(w, 503)
}

// prepareTurn prepends the chain of the previous turn to the input and reserves the
// tokens of the turn.
func (e *stubEdge) prepareTurn(r *http.Request, requestBody []byte) (body []byte, status int) {
	if previous := r.Header.Get(platform.HeaderPrevious); previous != "" {
		if e.hasFault(r, "forget") {
			return nil, 404
		}
		status, chain := sendStubRequest("GET", "http://"+e.coreAddr+"/stub/turn?id="+url.QueryEscape(previous), nil)
		if status == 0 {
			return nil, 503
		}
		if status != 200 {
			return nil, status
		}
		requestBody = append(slices.Clone(chain), requestBody...)
	}
	_, maxTokens, _ := strings.Cut(r.Header.Get(platform.HeaderTokens), ",")
	status, _ = sendStubRequest("POST", fmt.Sprintf("http://%s/stub/reserve?program=%s&budget=%s&most=%s", e.coreAddr, url.QueryEscape(r.Header.Get(platform.HeaderProgram)),
		r.Header.Get(platform.HeaderBudget), maxTokens), nil)
	if status == 0 {
		return nil, 503
	}
	return requestBody, status
}

// relay sends a request to a worker and its response to the client. It returns false if
// the worker did not run the request.
func (e *stubEdge) relay(w http.ResponseWriter, r *http.Request, conn net.Conn, worker stubWorker, route *platform.Route, body []byte) bool {
	finished := make(chan struct{})
	defer close(finished)
	go func() {
		select {
		case <-r.Context().Done():
			_ = conn.Close()
		case <-finished:
		}
	}()
	deadlineMs, _ := strconv.ParseFloat(r.Header.Get(platform.HeaderDeadline), 64)
	_ = conn.SetDeadline(time.Now().Add(time.Duration(max(deadlineMs, 100)) * time.Millisecond))
	var requestBytes bytes.Buffer
	fmt.Fprintf(&requestBytes, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n%s: %s\r\n", r.Method, r.RequestURI, r.Host, len(body), platform.HeaderExpectInstance, worker.id)
	for _, name := range slices.Sorted(maps.Keys(r.Header)) {
		if name != "Content-Length" && name != "Connection" {
			fmt.Fprintf(&requestBytes, "%s: %s\r\n", name, r.Header.Get(name))
		}
	}
	requestBytes.WriteString("\r\n")
	requestBytes.Write(body)
	if _, err := conn.Write(requestBytes.Bytes()); err != nil {
		panic(http.ErrAbortHandler)
	}
	if e.hasFault(r, "twice") && route.Kind == platform.NonIdempotent {
		if duplicate, err := net.Dial("tcp", worker.address); err == nil {
			_, _ = duplicate.Write(requestBytes.Bytes())
			_, _ = duplicate.Read(make([]byte, 1))
			_ = duplicate.Close()
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.Method})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if response.Header.Get(platform.HeaderNotRun) != "" || response.StatusCode == 421 {
		return false
	}
	if response.Header.Get(platform.HeaderID) != r.Header.Get(platform.HeaderID) {
		panic(http.ErrAbortHandler)
	}
	if e.hasFault(r, "refuse") && route.Kind != platform.Idempotent {
		e.sendRefusal(w, 503)
		return true
	}
	for _, name := range []string{platform.HeaderID, platform.HeaderSeal, "Content-Type"} {
		if name != platform.HeaderSeal || !e.hasFault(r, "seal") {
			w.Header().Set(name, response.Header.Get(name))
		}
	}
	if route.Kind == platform.Streaming && response.StatusCode == 200 {
		e.stream(w, r, response, body)
		return true
	}
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(responseBody)))
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(responseBody)
	return true
}

// stream forwards events as they arrive, and stores the turn before it ends the
// response.
func (e *stubEdge) stream(w http.ResponseWriter, r *http.Request, response *http.Response, body []byte) {
	reader, chain, event := bufio.NewReader(response.Body), slices.Clone(body), ""
	for eventCount := 0; ; {
		line, err := reader.ReadString('\n')
		if err == io.EOF && line == "" {
			break
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		event += line
		if data, found := strings.CutPrefix(line, "data: "); found {
			chain = append(chain, data...)
		}
		if line != "\n" {
			continue
		}
		if eventCount++; !(e.hasFault(r, "skip") && eventCount == 2) {
			_, _ = io.WriteString(w, event)
			w.(http.Flusher).Flush()
		}
		event = ""
	}
	if status, _ := sendStubRequest("POST", "http://"+e.coreAddr+"/stub/turn?id="+url.QueryEscape(r.Header.Get(platform.HeaderID)), chain); status != 200 {
		panic(http.ErrAbortHandler)
	}
}
