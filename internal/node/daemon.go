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

// ConfigFlags are what every daemon takes.
func ConfigFlags() []cli.Flag {
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

// LoadConfig puts file and flags together and checks the whole.
func LoadConfig(command *cli.Command, config Config, roles ...string) (*Config, error) {
	if path := command.String("settings"); path != "" {
		if err := ReadConfigFile(path, &config); err != nil {
			return nil, cli.Exit(err.Error(), ExitUsage)
		}
	}
	for name, target := range map[string]*string{"address": &config.Addr, "public-address": &config.PublicAddr, "zone": &config.Zone, "data": &config.DataDir, "role": &config.Role, "cluster": &config.Cluster, "node": &config.NodeName} {
		if command.IsSet(name) {
			*target = command.String(name)
		}
	}
	if command.IsSet("tolerate") {
		config.FaultTolerance = command.Int("tolerate")
	}
	if command.IsSet("found") {
		config.Bootstrap = command.Bool("found")
	}
	if command.IsSet("seed") {
		config.Seeds = command.StringSlice("seed")
	}
	if command.IsSet("disk-limit-bytes") {
		config.DiskLimitBytes = command.Int64("disk-limit-bytes")
	}
	violations := config.Validate(roles...)
	switch command.String("log") {
	case "text":
		log.SetHandler(text.New(os.Stderr))
	case "json":
		log.SetHandler(json.New(os.Stderr))
	default:
		violations = append(violations, "log: must be text or json")
	}
	level, err := log.ParseLevel(command.String("log-level"))
	if err != nil {
		violations = append(violations, "log-level: must be debug, info, warn or error")
	}
	log.SetLevel(level)
	if len(violations) > 0 {
		return nil, cli.Exit("cannot start:\n  "+strings.Join(violations, "\n  "), ExitUsage)
	}
	return &config, nil
}

type process interface {
	Handler() http.Handler
	Start()
	Ready() error
	Drain(limit time.Duration)
	Stop()
}

// Daemon is a process whose slices are built and whose inner address
// listens.
type Daemon struct {
	Env           Env
	Process       process
	PublicHandler Handler

	internalListener net.Listener
	internalServer   *http.Server
	cleanup          base.Cleanup
}

// Open builds a place's process; Start begins it, Close ends it.
func Open(config *Config, names *relay.WireNames) (*Daemon, error) {
	d := &Daemon{}
	counters := base.NewCounters()
	httpClient, err := conn.NewClient(func() { counters.Add("messages_sent", 1) })
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.cleanup.Push(httpClient.Close)
	d.Env = Env{Clock: base.NewRealClock(), HTTPClient: httpClient, Counters: counters, Backends: workerconn.New(base.DefaultBounds().Recovery/12, counters), Names: names}
	if d.internalListener, err = conn.Listen(config.Addr); err != nil {
		d.cleanup.Run()
		return nil, err
	}
	d.cleanup.Push(func() { _ = d.internalListener.Close() })
	if d.Process, d.PublicHandler, err = newProcess(d.Env, config); err != nil {
		d.cleanup.Run()
		return nil, err
	}
	d.internalServer = &http.Server{Handler: d.Process.Handler()}
	return d, nil
}

// Start serves partners and begins the slices' own tasks.
func (r *Daemon) Start() {
	go func() { _ = r.internalServer.Serve(r.internalListener) }()
	r.Process.Start()
}

// Close ends the process's tasks and lets go of what it holds.
func (r *Daemon) Close() {
	r.Process.Stop()
	bounded, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.internalServer.Shutdown(bounded)
	r.cleanup.Run()
}

// RunDaemon serves a place until a signal.
func RunDaemon(config *Config) error {
	publicListener, err := net.Listen("tcp", config.PublicAddr)
	if err != nil {
		return errors.Annotate(err, "public address")
	}
	defer publicListener.Close()
	daemon, err := Open(config, &relay.WireNames{})
	if err != nil {
		return err
	}
	defer daemon.Close()
	proc := daemon.Process
	publicServer := NewPublicServer(daemon.Env.Clock, daemon.Env.Counters, proc.Ready, daemon.PublicHandler)
	serveErr := make(chan error, 1)
	go func() { serveErr <- publicServer.Serve(publicListener) }()
	daemon.Start()
	entry := log.WithFields(log.Fields{"role": config.Role, "address": config.Addr, "public": config.PublicAddr, "zone": config.Zone})
	entry.Info("started")
	go logReadiness(daemon.Env.Clock, proc, entry)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-serveErr:
		return errors.Annotate(err, "public server")
	case received := <-signals:
		entry.WithField("signal", received.String()).Info("leaving")
	}
	limit := 2 * base.DefaultBounds().Recovery
	drained := make(chan struct{})
	go func() { proc.Drain(limit); close(drained) }()
	if err := publicServer.Shutdown(limit); err != nil {
		entry.WithError(err).Warn("some requests were still open")
	}
	<-drained
	entry.Info("left")
	return nil
}

func newProcess(env Env, config *Config) (process, Handler, error) {
	switch config.Role {
	case "edge":
		gateway := NewGateway(env, *config)
		gateway.Access.OnRulesChange = func(stamp uint64, teams int) {
			log.WithFields(log.Fields{"stamp": stamp, "teams": teams}).Info("rules of access are in force")
		}
		return gateway, gateway.Front.Handle, nil
	case "core":
		core := NewCore(env, *config)
		return core, core.OperatorAPI.Handle, nil
	}
	files, err := disk.OpenFolder(config.DataDir, config.DiskLimitBytes)
	if err != nil {
		return nil, nil, err
	}
	env.Files = files
	storage, err := NewStorage(env, *config)
	if err != nil {
		return nil, nil, errors.Annotate(err, "the disk is damaged and must not vote; empty the data folder to bring this machine back as a new disk")
	}
	return storage, NotFound, nil
}

// logReadiness writes a line when the node becomes ready or ceases to be.
func logReadiness(clock base.Clock, proc process, entry *log.Entry) {
	wasReady := false
	for {
		err := proc.Ready()
		if isReady := err == nil; isReady != wasReady {
			wasReady = isReady
			if isReady {
				entry.Info("ready")
			} else {
				entry.WithField("why", err.Error()).Warn("not ready")
			}
		}
		clock.Sleep(base.DefaultBounds().HeartbeatInterval())
	}
}
