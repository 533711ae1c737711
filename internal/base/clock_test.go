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

// TestNoPackageReadsTheWallClock guards against code that depends on the wall
// clock, which differs between machines and jumps.
func TestNoPackageReadsTheWallClock(t *testing.T) {
	is := is.New(t)
	parsed := 0
	// These files set deadlines on sockets, relative to now. The fleet driver and the
	// stand-ins over sockets are test equipment that runs outside the product.
	allowed := map[string]bool{"../base/clock.go": true, "../workerconn/deadline.go": true, "../conn/conn.go": true}
	is.NoErr(filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "../fleet/") || strings.HasPrefix(path, "../standin/platform/sockets/") || allowed[path] {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		parsed++
		ast.Inspect(file, func(node ast.Node) bool {
			if selector, ok := node.(*ast.SelectorExpr); ok {
				if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "time" && (selector.Sel.Name == "Now" || selector.Sel.Name == "Since") {
					t.Errorf("%s uses time.%s", path, selector.Sel.Name)
				}
			}
			return true
		})
		return nil
	}))
	is.True(parsed > 40) // the walk found the packages
}
