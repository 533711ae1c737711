package node

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/memory"

	"github.com/matryer/is"
	"github.com/twitchtv/twirp"
)

// machineBytes is the memory of the machine in these tests.
const machineBytes = 40 << 20

// A message is passed on unchanged, and its lease covers what the handler holds.
func TestMessageIsReadBeforeItIsHandled(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(base.NewRealClock(), base.NewCounters(), machineBytes)
	handler := limitMessages(budget, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.True(memory.LeaseFrom(r.Context()) != nil)
		is.True(budget.Used() >= 1000)
		_, _ = io.Copy(w, r.Body)
	}))
	body := bytes.Repeat([]byte("m"), 1000)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body)))
	is.True(bytes.Equal(recorder.Body.Bytes(), body))
	is.Equal(budget.Used(), int64(0))
}

// A message for which there is no memory is declined, and the sender learns that it was not
// processed and when to come back.
func TestMessageWithoutMemoryIsDeclinedAsNotRun(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(base.NewRealClock(), base.NewCounters(), machineBytes)
	server := httptest.NewServer(limitMessages(budget, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the message was processed") })))
	defer server.Close()
	for budget.NewLease().Admit(1<<20, 0) == nil {
	}
	response, err := http.Post(server.URL, "application/protobuf", bytes.NewReader(make([]byte, 2<<20)))
	is.NoErr(err)
	var reply struct {
		Code string            `json:"code"`
		Msg  string            `json:"msg"`
		Meta map[string]string `json:"meta"`
	}
	content, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(json.Unmarshal(content, &reply))
	twirpErr := twirp.NewError(twirp.ErrorCode(reply.Code), reply.Msg)
	for key, value := range reply.Meta {
		twirpErr = twirpErr.WithMeta(key, value)
	}
	requestErr := base.ToRequestError(twirpErr)
	is.Equal(requestErr.Code, "memory_short")
	is.Equal(requestErr.Execution, base.NotRun)
	is.True(requestErr.RetryAfterMs > 0)
}

// Connections of other nodes that are too many give way, unused ones first.
func TestTooManyNodeConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	limiter := newConnLimiter(base.NewRealClock(), base.NewCounters(), 2)
	pipes := make([]net.Conn, 3)
	peers := make([]net.Conn, 3)
	for index := range pipes {
		pipes[index], peers[index] = net.Pipe()
		defer peers[index].Close()
	}
	limiter.onStateChange(pipes[0], http.StateNew)
	limiter.onStateChange(pipes[0], http.StateActive)
	limiter.onStateChange(pipes[1], http.StateNew)
	limiter.onStateChange(pipes[2], http.StateNew)
	_, err := peers[1].Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	is.Equal(len(limiter.conns), 2)
}
