package fleet

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestClusterIsFormedOnceDespiteLostAnswers guards against a set-up that fails because the cluster
// exists that its own earlier call, whose answer was lost, has formed.
func TestClusterIsFormedOnceDespiteLostAnswers(t *testing.T) {
	is := is.New(t)
	answer := ""
	core := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, answer)
	}))
	defer core.Close()
	addr := strings.TrimPrefix(core.URL, "http://")
	answer = `{"error":{"code":"cluster_exists","message":"the cluster exists"}}`
	is.NoErr(initCluster(addr, []string{"a"}))
	answer = `{"error":{"code":"disk_in_use","message":"the disk is another cluster's"}}`
	is.True(initCluster(addr, []string{"a"}) != nil)
}
