// Package fleettest helps tests to run the project's daemons as real processes.
package fleettest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// BuildDaemons builds the daemons with the race detector, once for all tests of a process,
// and returns their directory.
var BuildDaemons = sync.OnceValues(func() (string, error) { return buildDaemons("-race") })

// BuildPlainDaemons is BuildDaemons without the race detector, which uses several times the
// memory that the daemons use on a machine.
var BuildPlainDaemons = sync.OnceValues(func() (string, error) { return buildDaemons("-ldflags=-linkmode=external") })

// buildDaemons builds the daemons with a flag and returns their directory.
func buildDaemons(flag string) (string, error) {
	dir, err := os.MkdirTemp("", "fordseam-daemons")
	if err != nil {
		return "", err
	}
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	build := exec.Command("go", "build", flag, "-o", dir+"/", "./cmd/fordseam-gateway", "./cmd/fordseam-controller")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, output)
	}
	return dir, nil
}

// moduleRoot returns the nearest directory above the working directory that has a go.mod.
func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", fmt.Errorf("no go.mod above the working directory")
		}
		dir = parent
	}
}

// TempDir returns a directory inside parent that is deleted after the test, or one in the
// usual place if parent cannot be written. Tests on real processes pass a file system in
// memory, so that they do not depend on the time that syncs take on a busy disk.
func TempDir(t *testing.T, parent string) string {
	dir, err := os.MkdirTemp(parent, "fordseam")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}
