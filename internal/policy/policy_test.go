package policy

import (
	"testing"

	"github.com/matryer/is"
)

// Programs that cannot be compiled, have other inputs, do not end or return
// invalid results must be rejected before they are stored.
func TestBadPoliciesAreRejected(t *testing.T) {
	sources := map[string]string{
		"syntax":            "def nominate(",
		"nothing defined":   "x = 1",
		"wrong parameters":  "def nominate(a): return None",
		"not a function":    "admit = 3",
		"loads":             `load("file", "x")` + "\ndef admit(s): return True",
		"opens files":       `def admit(s): return open("/etc/passwd")`,
		"endless top level": "x = [i for i in range(1000000000)]\ndef admit(s): return True",
		"endless call":      "def admit(s):\n  for i in range(1000000000): pass\n  return True",
		"wrong result type": "def admit(s): return 1",
		"unknown worker":    `def nominate(leg, workers): return "other"`,
		"changes its input": "def nominate(leg, workers):\n  workers.clear()\n  return None",
	}
	for name, source := range sources {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Compile(source)
			is.True(err != nil)
		})
	}
}

func TestPoliciesDecide(t *testing.T) {
	is := is.New(t)
	p, err := Compile(`
def nominate(leg, workers):
    near = [w for w in workers if w["zone"] == leg["zone"] and w["load"] < w["capacity"]]
    return near[0]["id"] if near else None

def admit(session):
    return session["urgency"] == "urgent" or session["sessions_here"] < 10
`)
	is.NoErr(err)
	workers := []Candidate{{"a", "x", 0, 1, true}, {"b", "y", 0, 1, false}}
	id, err := p.Pick("normal", "y", workers)
	is.NoErr(err)
	is.Equal(id, "b")
	id, err = p.Pick("normal", "z", workers)
	is.NoErr(err)
	is.Equal(id, "") // left to the built-in rule
	for _, row := range []struct {
		urgency  string
		sessions int
		allowed  bool
	}{{"normal", 3, true}, {"normal", 10, false}, {"urgent", 10, true}} {
		allowed, err := p.Admit(row.urgency, "chat", row.sessions)
		is.NoErr(err)
		is.Equal(allowed, row.allowed)
	}
}
