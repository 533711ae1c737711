// No slice reads a wall clock: wall clocks differ between machines and jump.
package base

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestNoPackageReadsTheWallClock(t *testing.T) {
	is := is.New(t)
	read := 0
	// These set deadlines on sockets, relative to now, or drive tests; the fleet and
	// the stand-ins over sockets are parties, no slices.
	allowed := map[string]bool{"../base/clock.go": true, "../workerconn/deadline.go": true, "../conn/conn.go": true}
	is.NoErr(filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "../fleet/") || strings.HasPrefix(path, "../standin/platform/sockets/") || allowed[path] {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		read++
		ast.Inspect(file, func(node ast.Node) bool {
			if call, ok := node.(*ast.SelectorExpr); ok {
				if from, ok := call.X.(*ast.Ident); ok && from.Name == "time" && (call.Sel.Name == "Now" || call.Sel.Name == "Since") {
					t.Errorf("%s reads time.%s", path, call.Sel.Name)
				}
			}
			return true
		})
		return nil
	}))
	is.True(read > 40)
}
