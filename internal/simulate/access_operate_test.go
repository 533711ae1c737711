// Tests of the operator API for model access and of its enforcement on the operator's
// routes: invalid input is reported by its field and changes nothing, refusals say what
// decided, and gateways need no confirmed settings when no access rules are set.
package simulate

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/operate"
	"fordseam/internal/relay"
	"fordseam/internal/route"

	"github.com/matryer/is"
)

// shapeWithTenants returns a small shape with the tenants' settings, in which one site has a
// host.
func shapeWithTenants() Shape {
	shape := SmallShape()
	shape.Settings = strings.Replace(tenantSettings(nil), `"team":"clerks","sites":{"main":{`, `"team":"clerks","sites":{"main":{"hosts":["pay.example"],`, 1)
	return shape
}

func TestAccessCommandsReportInvalidFields(t *testing.T) {
	runScript(t, shapeWithTenants(), func(is *is.I, f *Fleet, call *apiClient) {
		call.sleep(3 * time.Second)
		read := func(path string, query map[string]string) (int, string) {
			status, answer := f.OperatorRequestWithQuery(f.Cores[1], "GET", "/v1/operator/access"+path, query, nil)
			return status, string(answer)
		}
		status, answer := read("/check", map[string]string{"team": "tills", "model": "payslip"})
		is.Equal(status, 200)
		is.True(strings.Contains(answer, `"allowed":false`) && strings.Contains(answer, "not listed in $.groups.dukabora.teams.tills.models"))
		for field, query := range map[string]map[string]string{
			"team":  {"model": "payslip"},
			"model": {"team": "tills", "model": "none"},
		} {
			status, answer = read("/check", query)
			is.Equal(status, 400)
			is.True(strings.Contains(answer, `"field":"`+field+`"`))
		}
		status, answer = read("/check", map[string]string{"team": "nobody", "model": "payslip"})
		is.Equal(status, 400)
		is.True(strings.Contains(answer, `"field":"team"`))
		var view operate.AccessView
		_, answer = read("", nil)
		is.NoErr(json.Unmarshal([]byte(answer), &view))
		is.Equal(view.InForce, uint64(1))
		is.Equal(len(view.Teams), 3)
		is.Equal(len(view.Holders), len(f.Gateways)+len(f.Cores)) // each node reports the version that it has
		for _, holder := range view.Holders {
			is.Equal(holder.Version, uint64(1))
		}
		var state operate.StatusView
		_, raw := f.OperatorRequest(f.Cores[0], "GET", "/v1/operator/status", nil)
		is.NoErr(json.Unmarshal(raw, &state))
		is.True(state.Access != nil && len(state.Access.Holders) == len(f.Gateways)+len(f.Cores))

		denied := strings.Replace(f.Shape.Settings, `"tills":{"models":["checkout"]`, `"tills":{"models":["checkout"],"deny":["checkout"]`, 1)
		status, raw = f.OperatorRequest(f.Cores[0], "POST", "/v1/operator/access/diff", json.RawMessage(denied))
		is.Equal(status, 200)
		is.True(strings.Contains(string(raw), `"model":"checkout","change":"refused"`))
		invalid := strings.Replace(f.Shape.Settings, `"model":"checkout"`, `"model":"payslip"`, 1)
		for _, path := range []string{"access/diff", "settings/check"} {
			status, raw = f.OperatorRequest(f.Cores[0], "POST", "/v1/operator/"+path, json.RawMessage(invalid))
			is.Equal(status, 400)
			is.True(strings.Contains(string(raw), "$.groups.dukabora.sites.main.routes.chat.model"))
		}
		status, _ = f.applySettings("wrong", 1, json.RawMessage(invalid))
		is.Equal(status, 400)
		_, raw = f.OperatorRequest(f.Cores[1], "GET", "/v1/operator/settings", nil)
		is.True(strings.Contains(string(raw), `"stamp":1,`)) // the settings are unchanged
	})
}

// A change of the access rules is refused while an earlier change of them is not in force
// yet; changes of other settings are accepted.
func TestOverlappingAccessChangeIsRejected(t *testing.T) {
	runScript(t, shapeWithTenants(), func(is *is.I, f *Fleet, call *apiClient) {
		call.sleep(3 * time.Second)
		f.Gateways[2].Host.Freeze() // delays the change until this gateway's lease expires
		call.sleep(100 * time.Millisecond)
		denied := strings.Replace(f.Shape.Settings, `"tills":{"models":["checkout"]`, `"tills":{"models":["checkout"],"deny":["checkout"]`, 1)
		status, _ := f.applySettings("first-change", 1, json.RawMessage(denied))
		is.Equal(status, 200)
		status, raw := f.applySettings("second-change", 2, json.RawMessage(f.Shape.Settings))
		is.Equal(status, 409)
		is.True(strings.Contains(string(raw), "access_changing"))
		status, _ = f.applySettings("another-value", 2, json.RawMessage(strings.Replace(denied, `"max_output_tokens":64`, `"max_output_tokens":32`, 1)))
		is.Equal(status, 200)
		call.sleep(base.DefaultBounds().Lease() + base.DefaultBounds().HeartbeatInterval())
		_, raw = f.OperatorRequest(f.Cores[0], "GET", "/v1/operator/access", nil)
		is.True(strings.Contains(string(raw), `"in_force":3`))
		f.Gateways[2].Host.Thaw()
	})
}

func TestOperatorRoutesEnforceAccessRules(t *testing.T) {
	runScript(t, shapeWithTenants(), func(is *is.I, f *Fleet, call *apiClient) {
		table := &route.Table{Version: 1, Services: map[string]*route.Service{"llm": {Name: "llm", Engine: &route.Engine{Slots: 1}}, "app": {Name: "app"}},
			Routes: []route.Route{{Name: "ask", Host: "pay.example", Prefix: "/ask/", Timeout: time.Second, Shares: []route.Share{{Service: "llm", Weight: 1}}},
				{Name: "post", Host: "pay.example", Prefix: "/post/", Timeout: time.Second, Shares: []route.Share{{Service: "app", Weight: 1}}},
				{Name: "till", Host: "till.example", Prefix: "/", Timeout: time.Second, Shares: []route.Share{{Service: "llm", Weight: 1}}}}}
		is.NoErr(table.BuildIndex())
		authorize := func(m *Machine, host, target, model string) *base.RequestError {
			var err error
			done := base.NewNotifier(f.CallerHost.Clock())
			next := done.Next()
			m.Host.Go(func() {
				ctx := base.NewCtx(m.Host.Clock(), 5*time.Second)
				err = m.gateway.Authorize(ctx, table.Match(host, target), &relay.Call{Host: host, Target: target, Model: model})
				next.Fire()
			})
			next.Wait(10 * time.Second)
			return base.ToRequestError(err)
		}
		call.sleep(3 * time.Second)
		gateway := f.Gateways[0]
		is.True(authorize(gateway, "PAY.example:80", "/ask/x", "payslip") == nil)
		is.True(authorize(gateway, "pay.example", "/post/x", "") == nil) // calls no model, so the rules do not apply
		refusal := authorize(gateway, "pay.example", "/ask/x", "checkout")
		is.Equal(refusal.Status, 403)
		is.Equal(refusal.Code, "model_not_allowed")
		is.Equal(refusal.Team, "clerks")
		is.Equal(refusal.CurrentVersion, uint64(1))
		is.Equal(refusal.Execution, base.NotRun)
		is.Equal(authorize(gateway, "till.example", "/x", "checkout").Code, "unknown_team")
		f.Net.Isolate(map[string]bool{gateway.Host.Name: true})
		call.sleep(3 * time.Second)
		is.Equal(authorize(gateway, "pay.example", "/ask/x", "payslip").Code, "no_confirmed_settings")
		is.True(authorize(gateway, "pay.example", "/post/x", "") == nil)
		f.Net.Heal()
		call.sleep(2 * time.Second)
		is.True(authorize(gateway, "pay.example", "/ask/x", "payslip") == nil)
	})
}

// If no teams are configured, a gateway that is cut off from the cores still serves the
// operator's routes, reports nothing about its settings to the cores and asks for no
// confirmation.
func TestGatewaysServeWithoutAccessRules(t *testing.T) {
	runScript(t, SmallShape(), func(is *is.I, f *Fleet, call *apiClient) {
		call.sleep(2 * time.Second)
		gateway := f.Gateways[0]
		is.True(!gateway.gateway.Access.HasRules())
		f.Net.Isolate(map[string]bool{gateway.Host.Name: true})
		call.sleep(5 * time.Second)
		table := &route.Table{Version: 1, Services: map[string]*route.Service{"llm": {Name: "llm", Engine: &route.Engine{Slots: 1}}},
			Routes: []route.Route{{Name: "ask", Host: "pay.example", Prefix: "/", Timeout: time.Second, Shares: []route.Share{{Service: "llm", Weight: 1}}}}}
		is.NoErr(table.BuildIndex())
		is.NoErr(gateway.gateway.Authorize(base.NewCtx(gateway.Host.Clock(), time.Second), &table.Routes[0], &relay.Call{Host: "pay.example", Model: "m"}))
		f.Net.Heal()
		call.sleep(2 * time.Second)
		_, raw := f.OperatorRequest(f.Cores[0], "GET", "/v1/operator/access", nil)
		is.True(strings.Contains(string(raw), `"open":true`) && strings.Contains(string(raw), `"holders":[]`))
		_, raw = f.OperatorRequest(f.Cores[0], "GET", "/v1/operator/status", nil)
		is.True(!strings.Contains(string(raw), `"access"`))
	})
}
