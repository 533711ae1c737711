// What a place's faults are.
package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestPlaces(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "place.json")
	write := func(document string) error {
		is.NoErr(os.WriteFile(file, []byte(document), 0o600))
		return ReadPlace(file, &Place{})
	}
	for document, field := range map[string]string{`{"adress":"x"}`: "adress", `{"seeds":"x"}`: "seeds", `{"zone":1}`: "zone", `{`: "body", `{"seeds":[1]}`: "seeds[0]"} {
		err := write(document)
		is.True(err != nil && strings.Contains(err.Error(), ": "+field+": "))
	}
	whole := Place{Role: "storage", Addr: "127.0.0.1:1", Public: "127.0.0.1:2", Zone: "z", Seeds: []string{"127.0.0.1:1"}, Data: "d"}
	is.Equal(len(whole.Check("core", "storage")), 0)
	for field, bad := range map[string]Place{
		"role":           {Role: "king", Addr: whole.Addr, Public: whole.Public, Zone: "z", Seeds: whole.Seeds},
		"address":        {Role: "core", Addr: "host:1", Public: whole.Public, Zone: "z", Seeds: whole.Seeds},
		"public_address": {Role: "core", Addr: whole.Addr, Public: whole.Addr, Zone: "z", Seeds: whole.Seeds},
		"zone":           {Role: "core", Addr: whole.Addr, Public: whole.Public, Seeds: whole.Seeds},
		"seeds":          {Role: "core", Addr: whole.Addr, Public: whole.Public, Zone: "z"},
		"seeds[0]":       {Role: "core", Addr: whole.Addr, Public: whole.Public, Zone: "z", Seeds: []string{"x"}},
		"data":           {Role: "storage", Addr: whole.Addr, Public: whole.Public, Zone: "z", Seeds: whole.Seeds},
	} {
		faults := bad.Check("core", "storage")
		is.Equal(len(faults), 1)
		is.True(strings.HasPrefix(faults[0], field+":"))
	}
}
