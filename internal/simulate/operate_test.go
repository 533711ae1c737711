// Tests of the operator API's status, which names unhealthy machines and disks, and of its
// diff of a settings document.
package simulate

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"fordseam/internal/operate"
	"fordseam/internal/settings"

	"github.com/matryer/is"
)

// unwellReasons returns what a core's status reports as unwell.
func (f *Fleet) unwellReasons(m *Machine) string {
	var view operate.StatusView
	_, answer := f.OperatorRequest(m, "GET", "/v1/operator/status", nil)
	_ = json.Unmarshal(answer, &view)
	return strings.Join(view.Problems, "\n")
}

func TestStatusReportsUnwellNodes(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
		call.sleep(3 * time.Second)
		is.Equal(f.unwellReasons(f.Cores[0]), "")
		for _, core := range f.Cores { // its state still reaches them through its neighbours
			f.Net.CutLink(f.Gateways[1].Host.Name, core.Host.Name)
		}
		f.Kill(f.Storage[2])
		f.Gateways[2].Host.Freeze()
		call.sleep(6 * time.Second)
		reasons := f.unwellReasons(f.Cores[0])
		for _, reason := range []string{"edge edge-1:1 in zone-1 is not ready: no_confirmed_settings", "edge edge-2:1 in zone-0 is silent", "storage storage-2:1 in zone-0 is silent",
			"at storage-2:1 does not answer; if it is lost, retire it", "2 of 3 disks answer, 2 must: no other may be lost"} {
			is.True(strings.Contains(reasons, reason))
		}
		f.Kill(f.Storage[1])
		f.Kill(f.Cores[1])
		call.sleep(4 * time.Second)
		reasons = f.unwellReasons(f.Cores[0])
		is.True(strings.Contains(reasons, "1 of 3 disks answer, 2 must: nothing can be changed"))
		is.True(strings.Contains(reasons, "slots have no owner"))
		f.Net.Heal()
		f.Gateways[2].Host.Thaw()
		for _, m := range []*Machine{f.Storage[1], f.Storage[2], f.Cores[1]} {
			f.Start(m)
		}
		call.sleep(8 * time.Second)
		is.Equal(f.unwellReasons(f.Cores[1]), "")
	})
}

func TestSettingsDiff(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, _ *apiClient) {
		diff := func(document string) (int, string) {
			status, answer := f.OperatorRequest(f.Cores[1], "POST", "/v1/operator/settings/diff", json.RawMessage(document))
			return status, string(answer)
		}
		status, answer := diff(DefaultSettings)
		is.Equal(status, 200)
		is.True(strings.Contains(answer, `"differences":[]`) && strings.Contains(answer, `"stamp":1`))
		changed := strings.Replace(strings.Replace(DefaultSettings, `"operation_timeout_s":30,`, "", 1), `"tool_timeout_s":5`, `"tool_timeout_s":7`, 1)
		_, answer = diff(changed)
		var view struct{ Differences []settings.Difference }
		is.NoErr(json.Unmarshal([]byte(answer), &view))
		is.Equal(view.Differences, []settings.Difference{{Path: "$.groups.g.operation_timeout_s", Old: "30"},
			{Path: "$.groups.g.sites.main.routes.loyalty.tool_timeout_s", Old: "5", New: "7"}})
		status, answer = diff(`{"queue_size":0}`)
		is.Equal(status, 400)
		is.True(strings.Contains(answer, "$.queue_size"))
	})
}
