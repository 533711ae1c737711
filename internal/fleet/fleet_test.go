// One short run of real processes: an owner is killed in the middle of a
// conversation, and a gateway, a core and a disk are told to stop.
package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin"

	"github.com/matryer/is"
)

func TestRealFleetSurvivesTheLossOfAnOwner(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	root, err := filepath.Abs("../..")
	is.NoErr(err)
	build := exec.Command("go", "build", "-race", "-o", folder+"/", "./cmd/fordseam-gateway", "./cmd/fordseam-controller")
	build.Dir = root
	output, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	f, err := New(Shapes["small"], folder, folder, rand.IntN(50000))
	is.NoErr(err)
	defer f.Stop()
	parties, err := f.StartParties(5, 2*time.Millisecond)
	is.NoErr(err)
	defer parties.Stop()
	is.NoErr(f.Form(parties, time.Minute))

	tally := standin.NewTally()
	ask := f.Asker()
	killed := ""
	c := &standin.Caller{Name: "till", Clock: base.NewRealClock(), Ask: ask, Gateways: len(f.Edges), Group: "small", Site: "main", Pieces: 5,
		Patience: time.Minute, Tally: tally}
	c.Between = func(turn int) {
		if turn != 2 {
			return
		}
		path, secret := c.Session()
		answer, err := ask(1, "GET", path, map[string]string{"authorization": "Bearer " + secret}, nil)
		is.NoErr(err)
		var status struct {
			Owner string `json:"owner"`
		}
		is.NoErr(json.Unmarshal(answer.Body, &status))
		for _, p := range f.Edges {
			if strings.HasPrefix(status.Owner, p.Addr) {
				p.Kill()
				killed = p.Name
			}
		}
	}
	is.True(c.Start(1000))
	c.Converse(5, true)
	tally.Check(parties.Models, parties.Tools, 5)
	is.True(killed != "")
	is.Equal(fmt.Sprint(tally.Breaches), "[]")
	is.Equal(tally.Counts["conversations_whole"], 1)
	is.Equal(tally.Counts["turns_whole"], 5)
	is.Equal(tally.Counts["tools_done"], 3)

	// The rest stop when told to, with a clean exit.
	for _, p := range f.All() {
		if p.Name == killed {
			continue
		}
		p.Signal(syscall.SIGTERM)
	}
	for _, p := range f.All() {
		code, ended := p.Wait(time.Minute)
		is.True(ended)
		if p.Name != killed {
			if code != 0 {
				written, _ := os.ReadFile(filepath.Join(folder, p.Name+".log"))
				t.Logf("%s\n%s", p.Name, written)
			}
			is.Equal(p.Name+fmt.Sprint(code), p.Name+"0")
		}
	}
}
