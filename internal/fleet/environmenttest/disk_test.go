package environmenttest

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"fordseam/internal/standin/platform"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// eachDiskClass runs a test for a daemon of each class that keeps files.
func eachDiskClass(t *testing.T, test func(t *testing.T, class string)) {
	t.Parallel()
	for _, class := range []string{platform.ClassCore, platform.ClassStorage} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			test(t, class)
		})
	}
}

// startOnFullDisk starts the daemon with a disk that takes no byte. Its log goes through a pipe.
func (d *daemon) startOnFullDisk(t *testing.T) {
	t.Helper()
	is := is.New(t)
	shell := exec.Command("bash", append([]string{"-c", `ulimit -S -f 0 && exec "$0" "$@"`}, d.command.Args...)...)
	shell.Dir, shell.Env = d.command.Dir, d.command.Env
	d.command = shell
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	log, err := os.Create(d.logPath)
	is.NoErr(err)
	go func() {
		_, _ = log.ReadFrom(reader)
		_, _ = log.Close(), reader.Close()
	}()
	d.start(writer)
	is.NoErr(writer.Close())
}

// TestProcessServesOnAFullDisk guards against processes that end because their disk takes nothing.
func TestProcessServesOnAFullDisk(t *testing.T) {
	eachDiskClass(t, func(t *testing.T, class string) {
		is := is.New(t)
		d := newDaemon(t, class)
		d.startOnFullDisk(t)
		d.waitUntil("serving on a full disk", d.serves)
		var former unix.Rlimit
		pid := d.command.Process.Pid
		is.NoErr(unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &former))
		is.Equal(former.Cur, uint64(0))
		is.NoErr(unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: former.Max, Max: former.Max}, nil))
		d.waitUntil("serving", d.serves)
		d.stop()
	})
}

// linkToMissingVolume makes the data folder a link to a folder that is not there yet, and returns
// that folder's path.
func (d *daemon) linkToMissingVolume(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	volume := filepath.Join(filepath.Dir(d.settings.DataDir), "volume")
	is.NoErr(os.RemoveAll(d.settings.DataDir))
	is.NoErr(os.Symlink(volume, d.settings.DataDir))
	return volume
}

// TestStorageWaitsForItsVolume guards against storage processes that end because the volume of
// their data folder is not there yet.
func TestStorageWaitsForItsVolume(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, platform.ClassStorage)
	volume := d.linkToMissingVolume(t)
	d.start(nil)
	d.waitUntil("waiting for its volume", func() bool { return strings.Contains(d.log(), "cannot open the data folder yet") })
	is.New(t).NoErr(os.Mkdir(volume, 0o755))
	d.waitUntil("serving", d.serves)
	d.stop()
}

// TestStorageThatWaitsForItsVolumeStops guards against a wait that SIGTERM does not end.
func TestStorageThatWaitsForItsVolumeStops(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, platform.ClassStorage)
	d.linkToMissingVolume(t)
	d.start(nil)
	d.waitUntil("waiting for its volume", func() bool { return strings.Contains(d.log(), "cannot open the data folder yet") })
	d.stop()
}
