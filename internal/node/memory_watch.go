package node

import (
	"time"

	"fordseam/internal/base"

	"github.com/apex/log"
)

const (
	memoryCheckInterval = time.Second
	// The memory counts as high from highMemoryPercent of what the machine has, and as normal
	// again below normalMemoryPercent.
	highMemoryPercent   = 70
	normalMemoryPercent = 60
)

// memoryLevel tells when the memory of a process becomes high and when it is normal again.
type memoryLevel struct {
	limit int64
	high  bool
}

// update takes a reading of the resident memory in bytes, and reports whether the level changed.
func (l *memoryLevel) update(resident int64) (changed bool) {
	was := l.high
	switch percent := resident * 100 / l.limit; {
	case percent >= highMemoryPercent:
		l.high = true
	case percent < normalMemoryPercent:
		l.high = false
	}
	return l.high != was
}

// logMemoryLevel logs each change of the level of the memory until closed fires, with the
// counters that tell what the memory is used for. It does nothing if limit, in bytes, is 0.
func logMemoryLevel(limit int64, counters *base.Counters, closed base.Signal) {
	if limit <= 0 {
		return
	}
	level := memoryLevel{limit: limit}
	for !closed.Wait(memoryCheckInterval) {
		used := resourceCounters()
		if !level.update(used["resident_bytes"]) {
			continue
		}
		fields := log.Fields{"limit_bytes": limit}
		for name, value := range used {
			fields[name] = value
		}
		counts := counters.Snapshot()
		for _, name := range []string{"memory_held_bytes", "memory_answers_bytes", "worker_bytes_received", "worker_replies_open", "memory_refused"} {
			fields[name] = counts[name]
		}
		if level.high {
			log.WithFields(fields).Warn("the memory of this process is high")
		} else {
			log.WithFields(fields).Info("the memory of this process is normal again")
		}
	}
}
