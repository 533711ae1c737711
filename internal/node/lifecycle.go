package node

import (
	"context"
	"os"
	"runtime"

	"fordseam/internal/base"
	"fordseam/internal/signals"

	"github.com/apex/log"
)

// LogStarting logs what a process is, where it runs and what it was granted. Its entry has
// the fields that tell the process apart in later lines.
func LogStarting(config *Config) *log.Entry {
	entry := log.WithFields(log.Fields{"role": config.Role, "node": config.NodeName, "address": config.Addr})
	entry.WithFields(log.Fields{"time": base.TimeOfDay(), "version": Version, "pid": os.Getpid(), "processors": runtime.GOMAXPROCS(0), "public": config.PublicAddr, "zone": config.Zone,
		"seeds": config.Seeds, "bootstrap": config.Bootstrap, "tolerate": config.FaultTolerance, "data": config.DataDir,
		"disk_limit_bytes": config.DiskLimitBytes, "memory_bytes": config.MemoryBytes, "max_descriptors": config.MaxDescriptors}).Info("starting")
	return entry
}

// StopContext returns a context that ends with the signal that asks the process to stop. It
// logs all signals.
func StopContext(entry *log.Entry) context.Context {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		for {
			select {
			case received := <-signals.Stop():
				entry.WithField("signal", received.String()).Info("draining")
				stop()
				return
			case received := <-signals.Hangup():
				entry.WithField("signal", received.String()).Info("signal ignored")
			}
		}
	}()
	return ctx
}

// StartError returns the error of a start, or nil if the process was asked to stop meanwhile.
func StartError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// LogReadiness logs whether the process is ready, and why it is not, whenever that changes.
// It never returns.
func LogReadiness(clock base.Clock, ready func() error, entry *log.Entry) {
	lastReason := "starting"
	for {
		reason := ""
		if err := ready(); err != nil {
			reason = err.Error()
		}
		if reason != lastReason {
			lastReason = reason
			if reason == "" {
				entry.Info("ready")
			} else {
				entry.WithField("why", reason).Warn("not ready")
			}
		}
		clock.Sleep(base.DefaultBounds().HeartbeatInterval())
	}
}
