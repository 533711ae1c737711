// The life of a daemon: check the place, listen, start the slices, serve
// until a signal, then stop accepting, finish what was read, hand over, and
// leave with a clean exit code.
package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/conn"
	"fordseam/internal/disk"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes, the same for every program.
const (
	ExitFailed = 1
	ExitUsage  = 2
)

// PlaceFlags are what every daemon takes.
func PlaceFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE` (JSON) with the process's place"},
		&cli.StringFlag{Name: "address", Usage: "`IP:PORT` for other processes"},
		&cli.StringFlag{Name: "public-address", Usage: "`IP:PORT` for callers, the platform or operators (HTTP)"},
		&cli.StringFlag{Name: "zone", Usage: "`ZONE` the machine stands in"},
		&cli.StringSliceFlag{Name: "seed", Usage: "`IP:PORT` of another process; up to three"},
		&cli.StringFlag{Name: "cluster", Usage: "`NAME` of the cluster, as init printed it; the process then joins no other"},
		&cli.IntFlag{Name: "tolerate-lost-disks", Usage: "how `MANY` storage machines may be lost at once, disks and all; the same everywhere (1 unless given)"},
		&cli.StringFlag{Name: "log", Value: "text", Usage: "log `FORM`: text or json"},
		&cli.StringFlag{Name: "log-level", Value: "info", Usage: "`LEVEL`: debug, info, warn or error"},
	}
}

// PlaceOf puts file and flags together and checks the whole.
func PlaceOf(command *cli.Command, place Place, roles ...string) (*Place, error) {
	if path := command.String("settings"); path != "" {
		if err := ReadPlace(path, &place); err != nil {
			return nil, cli.Exit(err.Error(), ExitUsage)
		}
	}
	for name, into := range map[string]*string{"address": &place.Addr, "public-address": &place.Public, "zone": &place.Zone, "data": &place.Data, "role": &place.Role, "cluster": &place.Cluster} {
		if command.IsSet(name) {
			*into = command.String(name)
		}
	}
	if command.IsSet("seed") {
		place.Seeds = command.StringSlice("seed")
	}
	if command.IsSet("disk-limit-bytes") {
		place.Limit = command.Int64("disk-limit-bytes")
	}
	if command.IsSet("tolerate-lost-disks") {
		place.Tolerate = command.Int("tolerate-lost-disks")
	}
	faults := place.Check(roles...)
	switch command.String("log") {
	case "text":
		log.SetHandler(text.New(os.Stderr))
	case "json":
		log.SetHandler(json.New(os.Stderr))
	default:
		faults = append(faults, "log: must be text or json")
	}
	level, err := log.ParseLevel(command.String("log-level"))
	if err != nil {
		faults = append(faults, "log-level: must be debug, info, warn or error")
	}
	log.SetLevel(level)
	if len(faults) > 0 {
		return nil, cli.Exit("cannot start:\n  "+strings.Join(faults, "\n  "), ExitUsage)
	}
	return &place, nil
}

type process interface {
	Handler() http.Handler
	Start()
	Ready() error
	Leave(limit time.Duration)
	Stop()
}

// RunDaemon serves a place until a signal.
func RunDaemon(place *Place) error {
	var cleanup base.Cleanup
	defer cleanup.Run()
	counters := base.NewCounters()
	wire, err := conn.NewWire(func() { counters.Add("messages_sent", 1) })
	if err != nil {
		return errors.Trace(err)
	}
	cleanup.Push(wire.Close)
	env := Env{Clock: base.NewRealClock(), Wire: wire, Counters: counters, Backends: NewBackends(base.DefaultBounds().Recover / 12)}
	private, err := conn.Listen(place.Addr)
	if err != nil {
		return err
	}
	cleanup.Push(func() { _ = private.Close() })
	public, err := net.Listen("tcp", place.Public)
	if err != nil {
		return errors.Annotate(err, "public address")
	}
	cleanup.Push(func() { _ = public.Close() })
	running, handle, err := build(env, place)
	if err != nil {
		return err
	}
	partners := &http.Server{Handler: running.Handler()}
	go func() { _ = partners.Serve(private) }()
	face := NewPublic(env.Clock, counters, running.Ready, handle)
	served := make(chan error, 1)
	go func() { served <- face.Serve(public) }()
	running.Start()
	entry := log.WithFields(log.Fields{"role": place.Role, "address": place.Addr, "public": place.Public, "zone": place.Zone})
	entry.Info("started")
	go logReadiness(env.Clock, running, entry)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-served:
		return errors.Annotate(err, "public server")
	case received := <-signals:
		entry.WithField("signal", received.String()).Info("leaving")
	}
	limit := 2 * base.DefaultBounds().Recover
	handedOver := make(chan struct{})
	go func() { running.Leave(limit); close(handedOver) }()
	if err := face.Shutdown(limit); err != nil {
		entry.WithError(err).Warn("some requests were still open")
	}
	<-handedOver
	running.Stop()
	bounded, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = partners.Shutdown(bounded)
	entry.Info("left")
	return nil
}

func build(env Env, place *Place) (process, Handler, error) {
	switch place.Role {
	case "edge":
		gateway := NewGateway(env, *place)
		return gateway, gateway.Front.Handle, nil
	case "core":
		core := NewCore(env, *place)
		return core, core.Operate.Handle, nil
	}
	files, err := disk.OpenFolder(place.Data, place.Limit)
	if err != nil {
		return nil, nil, err
	}
	env.Files = files
	storage, err := NewStorage(env, *place)
	if err != nil {
		return nil, nil, errors.Annotate(err, "the disk is damaged and must not vote; empty the data folder to bring this machine back as a new disk")
	}
	return storage, NotHere, nil
}

// logReadiness writes a line when the node becomes ready or ceases to be.
func logReadiness(clock base.Clock, running process, entry *log.Entry) {
	was := false
	for {
		err := running.Ready()
		if now := err == nil; now != was {
			was = now
			if now {
				entry.Info("ready")
			} else {
				entry.WithField("why", err.Error()).Warn("not ready")
			}
		}
		clock.Sleep(base.DefaultBounds().Beat())
	}
}
