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
	"fordseam/internal/relay"
	"fordseam/internal/workerconn"

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
		&cli.StringFlag{Name: "node", Usage: "`NAME` of the machine, by which it can be retired"},
		&cli.IntFlag{Name: "tolerate", Usage: "`COUNT` of machines that may be lost with their disks at once, 1 or 2; the disk set then mends itself"},
		&cli.BoolFlag{Name: "found", Usage: "this is the very first start of the whole system: the seeds form the cluster"},
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
	for name, into := range map[string]*string{"address": &place.Addr, "public-address": &place.Public, "zone": &place.Zone, "data": &place.Data, "role": &place.Role, "cluster": &place.Cluster, "node": &place.Node} {
		if command.IsSet(name) {
			*into = command.String(name)
		}
	}
	if command.IsSet("tolerate") {
		place.Tolerate = command.Int("tolerate")
	}
	if command.IsSet("found") {
		place.Found = command.Bool("found")
	}
	if command.IsSet("seed") {
		place.Seeds = command.StringSlice("seed")
	}
	if command.IsSet("disk-limit-bytes") {
		place.Limit = command.Int64("disk-limit-bytes")
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

// Running is a process whose slices are built and whose inner address
// listens.
type Running struct {
	Env     Env
	Process process
	Public  Handler

	private  net.Listener
	partners *http.Server
	cleanup  base.Cleanup
}

// Open builds a place's process; Start begins it, Close ends it.
func Open(place *Place, names *relay.WireNames) (*Running, error) {
	r := &Running{}
	counters := base.NewCounters()
	wire, err := conn.NewClient(func() { counters.Add("messages_sent", 1) })
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.cleanup.Push(wire.Close)
	r.Env = Env{Clock: base.NewRealClock(), Wire: wire, Counters: counters, Backends: workerconn.New(base.DefaultBounds().Recover/12, counters), Names: names}
	if r.private, err = conn.Listen(place.Addr); err != nil {
		r.cleanup.Run()
		return nil, err
	}
	r.cleanup.Push(func() { _ = r.private.Close() })
	if r.Process, r.Public, err = build(r.Env, place); err != nil {
		r.cleanup.Run()
		return nil, err
	}
	r.partners = &http.Server{Handler: r.Process.Handler()}
	return r, nil
}

// Start serves partners and begins the slices' own tasks.
func (r *Running) Start() {
	go func() { _ = r.partners.Serve(r.private) }()
	r.Process.Start()
}

// Close ends the process's tasks and lets go of what it holds.
func (r *Running) Close() {
	r.Process.Stop()
	bounded, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.partners.Shutdown(bounded)
	r.cleanup.Run()
}

// RunDaemon serves a place until a signal.
func RunDaemon(place *Place) error {
	public, err := net.Listen("tcp", place.Public)
	if err != nil {
		return errors.Annotate(err, "public address")
	}
	defer public.Close()
	opened, err := Open(place, &relay.WireNames{})
	if err != nil {
		return err
	}
	defer opened.Close()
	running := opened.Process
	face := NewPublic(opened.Env.Clock, opened.Env.Counters, running.Ready, opened.Public)
	served := make(chan error, 1)
	go func() { served <- face.Serve(public) }()
	opened.Start()
	entry := log.WithFields(log.Fields{"role": place.Role, "address": place.Addr, "public": place.Public, "zone": place.Zone})
	entry.Info("started")
	go logReadiness(opened.Env.Clock, running, entry)
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
	entry.Info("left")
	return nil
}

func build(env Env, place *Place) (process, Handler, error) {
	switch place.Role {
	case "edge":
		gateway := NewGateway(env, *place)
		gateway.Access.OnRulesChange = func(stamp uint64, teams int) {
			log.WithFields(log.Fields{"stamp": stamp, "teams": teams}).Info("rules of access are in force")
		}
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
