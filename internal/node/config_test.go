// What a place's faults are.
package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestConfigValidation(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "place.json")
	write := func(document string) error {
		is.NoErr(os.WriteFile(file, []byte(document), 0o600))
		return ReadConfigFile(file, &Config{})
	}
	for document, field := range map[string]string{`{"adress":"x"}`: "adress", `{"seeds":"x"}`: "seeds", `{"zone":1}`: "zone", `{`: "body", `{"seeds":[1]}`: "seeds[0]"} {
		err := write(document)
		is.True(err != nil && strings.Contains(err.Error(), ": "+field+": "))
	}
	whole := Config{Role: "storage", Addr: "127.0.0.1:1", PublicAddr: "127.0.0.1:2", Zone: "z", Seeds: []string{"127.0.0.1:1"}, DataDir: "d"}
	is.Equal(len(whole.Validate("core", "storage")), 0)
	for field, bad := range map[string]Config{
		"role":           {Role: "king", Addr: whole.Addr, PublicAddr: whole.PublicAddr, Zone: "z", Seeds: whole.Seeds},
		"address":        {Role: "core", Addr: "host:1", PublicAddr: whole.PublicAddr, Zone: "z", Seeds: whole.Seeds},
		"public_address": {Role: "core", Addr: whole.Addr, PublicAddr: whole.Addr, Zone: "z", Seeds: whole.Seeds},
		"zone":           {Role: "core", Addr: whole.Addr, PublicAddr: whole.PublicAddr, Seeds: whole.Seeds},
		"seeds":          {Role: "core", Addr: whole.Addr, PublicAddr: whole.PublicAddr, Zone: "z"},
		"seeds[0]":       {Role: "core", Addr: whole.Addr, PublicAddr: whole.PublicAddr, Zone: "z", Seeds: []string{"x"}},
		"data":           {Role: "storage", Addr: whole.Addr, PublicAddr: whole.PublicAddr, Zone: "z", Seeds: whole.Seeds},
	} {
		faults := bad.Validate("core", "storage")
		is.Equal(len(faults), 1)
		is.True(strings.HasPrefix(faults[0], field+":"))
	}
}
