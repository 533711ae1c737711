// An isolated core may neither acknowledge nor read on its own, because both need a majority
// of the disks. Each of these checks is disabled by changing messages between the machines,
// and the checks of every isolation run must detect that with some seed.
package simulate

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"fordseam/internal/register"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"
)

func TestDisabledMajorityProofIsDetected(t *testing.T) {
	t.Parallel()
	log.SetLevel(log.ErrorLevel)
	for _, row := range []struct {
		mechanism string
		disable   func(f *Fleet)
		expected  string
	}{
		{"the confirmation before a read", interceptPath("Disk/Confirm", func(*Message) *http.Response {
			return protoResponse(&register.Ack{Ok: true})
		}), "was acknowledged before: GET"},
		{"the confirmation before a refusal", interceptPath("Disk/Confirm", func(*Message) *http.Response {
			return protoResponse(&register.Ack{Ok: true})
		}), "an isolated core answered: stale PUT"},
		{"the majority before an acknowledgement", interceptPath("Disk/Append", func(m *Message) *http.Response {
			var request register.AppendRequest
			_ = proto.Unmarshal(m.Body, &request)
			if len(request.Entries) == 0 {
				response, _ := m.Forward(m.Body)
				return response
			}
			return protoResponse(&register.Ack{Ok: true, Seq: request.Entries[len(request.Entries)-1].Seq})
		}), "an isolated core answered: PUT"},
	} {
		t.Run(row.mechanism, func(t *testing.T) {
			t.Parallel()
			const maxSeeds = 12 // the first seed that detects it ends the test
			for seed := uint64(1); seed <= maxSeeds; seed++ {
				run := IsolationPlan{Size: "tills", Target: TargetLeader, Mode: IsolationSilent, Duration: 10 * time.Second, Seed: seed}.Run(row.disable)
				for _, breach := range run.Breaches {
					if strings.Contains(breach, row.expected) {
						t.Logf("without %s: seed %d: %.300s", row.mechanism, seed, breach)
						return
					}
				}
				t.Logf("seed %d: %d other breaches", seed, len(run.Breaches))
			}
			t.Errorf("none of %d seeds reported %q", maxSeeds, row.expected)
		})
	}
}
