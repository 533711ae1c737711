package node

import (
	"os"
	"runtime"
	"strconv"
	"strings"
)

// resourceCounters returns what the process uses at the moment: goroutines, open
// descriptors and resident memory in bytes. What the system does not tell is left out.
func resourceCounters() map[string]int64 {
	used := map[string]int64{"goroutines": int64(runtime.NumGoroutine())}
	if entries, err := os.ReadDir("/proc/self/fd"); err == nil {
		used["open_descriptors"] = int64(len(entries))
	}
	if statm, err := os.ReadFile("/proc/self/statm"); err == nil {
		fields := strings.Fields(string(statm))
		if len(fields) > 1 {
			if pages, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
				used["resident_bytes"] = pages * int64(os.Getpagesize())
			}
		}
	}
	return used
}
