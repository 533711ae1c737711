// What cut-off machines are kept from rests on two proofs by a majority of the
// disks. Each is taken away from outside the daemons' code, and some seed must
// then be caught by the judgement that every cut gets.
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
		take      func(f *Fleet)
		word      string
	}{
		{"the confirmation before a read", interceptPath("Disk/Confirm", func(*Message) *http.Response {
			return protoResponse(&register.Ack{Ok: true})
		}), "was acknowledged before: GET"},
		{"the confirmation before a refusal", interceptPath("Disk/Confirm", func(*Message) *http.Response {
			return protoResponse(&register.Ack{Ok: true})
		}), "a core that was cut off answered: stale PUT"},
		{"the majority before an acknowledgement", interceptPath("Disk/Append", func(m *Message) *http.Response {
			var asked register.AppendRequest
			_ = proto.Unmarshal(m.Body, &asked)
			if len(asked.Entries) == 0 {
				response, _ := m.Forward(m.Body)
				return response
			}
			return protoResponse(&register.Ack{Ok: true, Seq: asked.Entries[len(asked.Entries)-1].Seq})
		}), "a core that was cut off answered: PUT"},
	} {
		t.Run(row.mechanism, func(t *testing.T) {
			t.Parallel()
			const maxSeeds = 12 // a seed that shows the fault ends the search
			for seed := uint64(1); seed <= maxSeeds; seed++ {
				run := IsolationPlan{Size: "tills", Target: TargetLeader, Mode: IsolationSilent, Duration: 10 * time.Second, Seed: seed}.Run(row.take)
				for _, breach := range run.Breaches {
					if strings.Contains(breach, row.word) {
						t.Logf("without %s: seed %d: %.300s", row.mechanism, seed, breach)
						return
					}
				}
				t.Logf("seed %d: %d breaches of other kinds", seed, len(run.Breaches))
			}
			t.Errorf("none of %d seeds was caught with %q", maxSeeds, row.word)
		})
	}
}
