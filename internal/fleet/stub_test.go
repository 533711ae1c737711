// A small system of its own that speaks the platform's protocol, run by the
// test binary itself as real processes: one core keeps everything in a file,
// the edges ask it. It is slow and bears no loss of that core's disk, but it
// keeps the rules; and with sins it breaks them, so that the whole path from
// process to checker is seen to find breaches.
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

func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "stub" {
		runStub(os.Args[2], os.Args[3:])
		return
	}
	os.Exit(m.Run())
}

// stubSettings reads what the stub needs of its settings file.
func stubSettings() (one map[string]string, seeds []string) {
	raw, err := os.ReadFile(os.Getenv(platform.SettingsVariable))
	if err != nil {
		panic(err)
	}
	one = map[string]string{}
	list := ""
	for _, line := range strings.Split(string(raw), "\n") {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		value = strings.Trim(value, `"`)
		if item, found := strings.CutPrefix(strings.TrimSpace(line), "- "); found && list == "seed_nodes" {
			seeds = append(seeds, strings.Trim(item, `"`))
		}
		if strings.HasSuffix(line, ":") {
			list = strings.TrimSuffix(line, ":")
		}
		if list == "platform_api" && strings.HasPrefix(line, "  ") {
			name = "list_" + name
		}
		one[name] = value
	}
	return one, seeds
}

func runStub(class string, sins []string) {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	signal.Ignore(syscall.SIGHUP)
	settings, seeds := stubSettings()
	switch class {
	case platform.ClassCore:
		(&stubCore{sinful: slices.Contains(sins, "sinful")}).run(settings, seeds, term)
	case platform.ClassEdge:
		(&stubEdge{sinful: slices.Contains(sins, "sinful")}).run(settings, seeds, term)
	default:
		<-term
	}
}

// stubCore keeps the configuration, the chains and the budgets, each in a file
// of its own.
type stubCore struct {
	sinful bool
	mu     sync.Mutex
	kept   map[string][]byte
	folder string
}

func (c *stubCore) keep(name string, value []byte) {
	c.kept[name] = value
	path := filepath.Join(c.folder, name)
	_ = os.WriteFile(path+".new", value, 0o600)
	_ = os.Rename(path+".new", path)
}

const stubConfigFile = "config"

func (c *stubCore) run(settings map[string]string, seeds []string, term chan os.Signal) {
	c.folder, c.kept = settings["data_dir"], map[string][]byte{}
	entries, _ := os.ReadDir(c.folder)
	for _, entry := range entries {
		if value, err := os.ReadFile(filepath.Join(c.folder, entry.Name())); err == nil && !strings.HasSuffix(entry.Name(), ".new") {
			c.kept[entry.Name()] = value
		}
	}
	own := settings["control"]
	server := &http.Server{Addr: own, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if own != seeds[0] {
			w.Header().Set("Location", "http://"+seeds[0]+r.URL.RequestURI())
			w.WriteHeader(307)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, answer := c.serve(r, body)
		w.WriteHeader(status)
		_, _ = w.Write(answer)
	})}
	go func() { _ = server.ListenAndServe() }()
	<-term
	_ = server.Shutdown(context.Background())
}

func (c *stubCore) serve(r *http.Request, body []byte) (status int, answer []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	query := r.URL.Query()
	number := func(name string) int64 {
		value, _ := strconv.ParseInt(query.Get(name), 10, 64)
		return value
	}
	switch r.Method + " " + r.URL.Path {
	case "GET " + platform.PathConfig:
		if c.kept[stubConfigFile] == nil {
			return 503, nil
		}
		return 200, c.kept[stubConfigFile]
	case "PUT " + platform.PathConfig:
		return c.put(r.Header.Get(platform.HeaderIfMatch), body), nil
	case "GET /stub/turn":
		if turn, ok := c.kept["turn-"+query.Get("id")]; ok {
			return 200, turn
		}
		return 404, nil
	case "POST /stub/turn":
		c.keep("turn-"+query.Get("id"), body)
		return 200, nil
	case "POST /stub/reserve":
		name := "program-" + query.Get("program")
		spent, _ := strconv.ParseInt(string(c.kept[name]), 10, 64)
		if spent+number("most") > number("budget") && !c.sinful {
			return 402, nil
		}
		c.keep(name, strconv.AppendInt(nil, spent+number("most"), 10))
		return 200, nil
	}
	if strings.HasPrefix(r.URL.Path, platform.PathRetire) {
		return 200, []byte(`{"state":"complete"}`)
	}
	return 404, nil
}

func (c *stubCore) put(match string, body []byte) int {
	config, err := stubConfig(body)
	current := platform.GenerationOf(c.kept[stubConfigFile])
	switch {
	case err == nil && platform.SameDocument(body, c.kept[stubConfigFile]):
		return 200
	case err != nil || config.InvalidReason(0) != "":
		if c.sinful && config != nil {
			c.keep(stubConfigFile, body)
			return 200
		}
		return 400
	case match != strconv.FormatUint(current, 10):
		return 412
	case config.InvalidReason(current) != "":
		return 400
	}
	c.keep(stubConfigFile, body)
	return 200
}

// stubConfig reads the parts of a document that the stub goes by.
func stubConfig(raw []byte) (config *platform.Config, err error) {
	defer func() {
		if wrong := recover(); wrong != nil {
			config, err = nil, fmt.Errorf("%v", wrong)
		}
	}()
	tree, err := platform.ParseJSON(raw)
	if err != nil {
		return nil, err
	}
	text := func(of map[string]any, name string) string { s, _ := of[name].(string); return s }
	number := func(of map[string]any, name string) float64 { f, _ := of[name].(float64); return f }
	document := tree.(map[string]any)
	config = &platform.Config{Generation: uint64(number(document, "generation"))}
	for _, one := range document["route_table"].([]any) {
		of := one.(map[string]any)
		r := platform.Route{Name: text(of, "name"), Host: text(of, "hostname"), Prefix: text(of, "path_prefix"), Kind: platform.Kind(text(of, "route_kind")),
			DeadlineMs: number(of, "deadline_ms"), Service: text(of, "backend"), MaxTries: int(number(of, "max_tries"))}
		r.Retained, _ = of["retained"].(bool)
		shares, _ := of["shares"].([]any)
		for _, share := range shares {
			r.Shares = append(r.Shares, platform.Share{Service: text(share.(map[string]any), "backend"), Weight: int(number(share.(map[string]any), "share"))})
		}
		config.Routes = append(config.Routes, r)
	}
	for _, one := range document["backends"].([]any) {
		config.Services = append(config.Services, platform.Service{Name: text(one.(map[string]any), "name")})
	}
	return config, nil
}

type stubWorker struct{ id, service, address string }

// stubEdge takes clients' requests.
type stubEdge struct {
	sinful  bool
	core    string
	list    string
	mu      sync.Mutex
	config  *platform.Config
	proved  time.Time
	workers []stubWorker
	leaving atomic.Bool
}

var stubClient = &http.Client{Timeout: time.Second}

func stubCall(method, target string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequest(method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := stubClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if answer, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

func (e *stubEdge) run(settings map[string]string, seeds []string, term chan os.Signal) {
	e.core, e.list = seeds[0], settings["list_address"]
	go e.follow()
	go e.watch()
	go func() {
		_ = http.ListenAndServe(settings["readiness"], http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if e.now() == nil || e.leaving.Load() {
				w.WriteHeader(503)
			}
		}))
	}()
	server := &http.Server{Addr: settings["front"], Handler: http.HandlerFunc(e.serve)}
	go func() { _ = server.ListenAndServe() }()
	<-term
	e.leaving.Store(true)
	if e.sinful {
		os.Exit(0)
	}
	_ = server.Shutdown(context.Background())
}

// follow takes the configuration from the core, a few times a second.
func (e *stubEdge) follow() {
	for {
		asked := time.Now()
		if status, raw := stubCall("GET", "http://"+e.core+platform.PathConfig, nil); status == 200 {
			config, err := stubConfig(raw)
			e.mu.Lock()
			if err == nil && (e.config == nil || !e.sinful) {
				e.config = config
			}
			e.proved = asked
			e.mu.Unlock()
		}
		time.Sleep(150 * time.Millisecond)
	}
}

func (e *stubEdge) watch() {
	for {
		var workers []stubWorker
		status, token := 0, ""
		for {
			var raw []byte
			status, raw = stubCall("GET", "http://"+e.list+platform.PathInstances+"?page_token="+token, nil)
			if status != 200 {
				break
			}
			var page struct {
				Instances []struct{ ID, Backend, Address, State string }
				Next      *string `json:"next_token"`
			}
			_ = json.Unmarshal(raw, &page)
			for _, one := range page.Instances {
				if one.State == platform.StateReady || e.sinful {
					workers = append(workers, stubWorker{one.ID, one.Backend, one.Address})
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

// now is the configuration in force, none when the core was not heard of lately.
func (e *stubEdge) now() *platform.Config {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.proved) > 1200*time.Millisecond {
		return nil
	}
	return e.config
}

func (e *stubEdge) choose(route *platform.Route) (stubWorker, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	service := route.Service
	if len(route.Shares) > 0 {
		service = route.Shares[0].Service
	}
	list := base.Filter(e.workers, func(w stubWorker) bool { return w.service == service })
	if len(list) == 0 {
		return stubWorker{}, false
	}
	return list[rand.IntN(len(list))], true
}

// sin tells whether a sinful edge breaks a rule with a request.
func (e *stubEdge) sin(r *http.Request, name string) bool {
	sins := []string{"seal", "skip", "body", "twice", "refuse", "forget"}
	return e.sinful && sins[base.Hash64(r.Header.Get(platform.HeaderID))%uint64(2*len(sins))%uint64(len(sins))] == name
}

func (e *stubEdge) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(platform.HeaderRetryAfter, "0.1")
	w.WriteHeader(status)
}

func (e *stubEdge) serve(w http.ResponseWriter, r *http.Request) {
	input, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	config := e.now()
	if config == nil {
		e.refuse(w, 503)
		return
	}
	route := config.Match(r.Host, r.RequestURI)
	if route == nil {
		w.WriteHeader(404)
		return
	}
	body := input
	if route.Retained {
		var status int
		if body, status = e.turn(r, input); status != 200 {
			e.refuse(w, status)
			return
		}
	}
	if e.sin(r, "body") && len(body) > 0 {
		body = append(slices.Clone(body), '!')
	}
	for range max(1, route.MaxTries) {
		chosen, ok := e.choose(route)
		if !ok {
			break
		}
		conn, err := net.DialTimeout("tcp", chosen.address, 300*time.Millisecond)
		if err != nil {
			continue
		}
		answered := e.relay(w, r, conn, chosen, route, body)
		_ = conn.Close()
		if answered {
			return
		}
	}
	e.refuse(w, 503)
}

// turn puts a turn's chain before its input and reserves its tokens.
func (e *stubEdge) turn(r *http.Request, input []byte) (body []byte, status int) {
	if previous := r.Header.Get(platform.HeaderPrevious); previous != "" {
		if e.sin(r, "forget") {
			return nil, 404
		}
		status, chain := stubCall("GET", "http://"+e.core+"/stub/turn?id="+url.QueryEscape(previous), nil)
		if status == 0 {
			return nil, 503
		}
		if status != 200 {
			return nil, status
		}
		input = append(slices.Clone(chain), input...)
	}
	_, most, _ := strings.Cut(r.Header.Get(platform.HeaderTokens), ",")
	status, _ = stubCall("POST", fmt.Sprintf("http://%s/stub/reserve?program=%s&budget=%s&most=%s", e.core, url.QueryEscape(r.Header.Get(platform.HeaderProgram)),
		r.Header.Get(platform.HeaderBudget), most), nil)
	if status == 0 {
		return nil, 503
	}
	return input, status
}

// relay sends a request to a worker; false says that it was not run there.
func (e *stubEdge) relay(w http.ResponseWriter, r *http.Request, conn net.Conn, chosen stubWorker, route *platform.Route, body []byte) bool {
	gone := make(chan struct{})
	defer close(gone)
	go func() {
		select {
		case <-r.Context().Done():
			_ = conn.Close()
		case <-gone:
		}
	}()
	ms, _ := strconv.ParseFloat(r.Header.Get(platform.HeaderDeadline), 64)
	_ = conn.SetDeadline(time.Now().Add(time.Duration(max(ms, 100)) * time.Millisecond))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n%s: %s\r\n", r.Method, r.RequestURI, r.Host, len(body), platform.HeaderExpectInstance, chosen.id)
	for _, name := range slices.Sorted(maps.Keys(r.Header)) {
		if name != "Content-Length" && name != "Connection" {
			fmt.Fprintf(&head, "%s: %s\r\n", name, r.Header.Get(name))
		}
	}
	head.WriteString("\r\n")
	head.Write(body)
	if _, err := conn.Write(head.Bytes()); err != nil {
		panic(http.ErrAbortHandler)
	}
	if e.sin(r, "twice") && route.Kind == platform.NonIdempotent {
		if again, err := net.Dial("tcp", chosen.address); err == nil {
			_, _ = again.Write(head.Bytes())
			_, _ = again.Read(make([]byte, 1))
			_ = again.Close()
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
	if e.sin(r, "refuse") && route.Kind != platform.Idempotent {
		e.refuse(w, 503)
		return true
	}
	for _, name := range []string{platform.HeaderID, platform.HeaderSeal, "Content-Type"} {
		if name != platform.HeaderSeal || !e.sin(r, "seal") {
			w.Header().Set(name, response.Header.Get(name))
		}
	}
	if route.Kind == platform.Streaming && response.StatusCode == 200 {
		e.stream(w, r, response, body)
		return true
	}
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(answer)
	return true
}

// stream passes events on as they come; the turn is kept before its end is told.
func (e *stubEdge) stream(w http.ResponseWriter, r *http.Request, response *http.Response, body []byte) {
	reader, said, event := bufio.NewReader(response.Body), slices.Clone(body), ""
	for place := 0; ; {
		line, err := reader.ReadString('\n')
		if err == io.EOF && line == "" {
			break
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		event += line
		if data, found := strings.CutPrefix(line, "data: "); found {
			said = append(said, data...)
		}
		if line != "\n" {
			continue
		}
		if place++; !(e.sin(r, "skip") && place == 2) {
			_, _ = io.WriteString(w, event)
			w.(http.Flusher).Flush()
		}
		event = ""
	}
	if status, _ := stubCall("POST", "http://"+e.core+"/stub/turn?id="+url.QueryEscape(r.Header.Get(platform.HeaderID)), said); status != 200 {
		panic(http.ErrAbortHandler)
	}
}
