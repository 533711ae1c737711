package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestConfigValidation checks that each invalid field of a settings file and of a
// configuration is reported by name.
func TestConfigValidation(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "place.json")
	readConfig := func(document string) error {
		is.NoErr(os.WriteFile(path, []byte(document), 0o600))
		return ReadConfigFile(path, &Config{})
	}
	for document, field := range map[string]string{`{"adress":"x"}`: "adress", `{"seeds":"x"}`: "seeds", `{"zone":1}`: "zone", `{`: "body", `{"seeds":[1]}`: "seeds[0]"} {
		err := readConfig(document)
		is.True(err != nil && strings.Contains(err.Error(), ": "+field+": "))
	}
	valid := Config{Role: "storage", Addr: "127.0.0.1:1", PublicAddr: "127.0.0.1:2", Zone: "z", Seeds: []string{"127.0.0.1:1"}, DataDir: "d"}
	is.Equal(len(valid.Validate("core", "storage")), 0)
	for field, invalid := range map[string]Config{
		"role":           {Role: "king", Addr: valid.Addr, PublicAddr: valid.PublicAddr, Zone: "z", Seeds: valid.Seeds},
		"address":        {Role: "core", Addr: "host:1", PublicAddr: valid.PublicAddr, Zone: "z", Seeds: valid.Seeds},
		"public_address": {Role: "core", Addr: valid.Addr, PublicAddr: valid.Addr, Zone: "z", Seeds: valid.Seeds},
		"zone":           {Role: "core", Addr: valid.Addr, PublicAddr: valid.PublicAddr, Seeds: valid.Seeds},
		"seeds":          {Role: "core", Addr: valid.Addr, PublicAddr: valid.PublicAddr, Zone: "z"},
		"seeds[0]":       {Role: "core", Addr: valid.Addr, PublicAddr: valid.PublicAddr, Zone: "z", Seeds: []string{"x"}},
		"data":           {Role: "storage", Addr: valid.Addr, PublicAddr: valid.PublicAddr, Zone: "z", Seeds: valid.Seeds},
	} {
		violations := invalid.Validate("core", "storage")
		is.Equal(len(violations), 1)
		is.True(strings.HasPrefix(violations[0], field+":"))
	}
}
