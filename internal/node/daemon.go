package node

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/conn"
	"fordseam/internal/disk"
	"fordseam/internal/memory"
	"fordseam/internal/relay"
	"fordseam/internal/tcp"
	"fordseam/internal/workerconn"

	"github.com/apex/log"
	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes, the same for every program.
const (
	ExitFailed = 1
	ExitUsage  = 2
)

// ConfigFlags returns the command-line flags that every daemon accepts.
func ConfigFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE` (JSON) with the configuration of the process"},
		&cli.StringFlag{Name: "address", Usage: "`IP:PORT` for other processes"},
		&cli.StringFlag{Name: "public-address", Usage: "`IP:PORT` for callers, the platform or operators (HTTP)"},
		&cli.StringFlag{Name: "zone", Usage: "`ZONE` in which the machine is located"},
		&cli.StringSliceFlag{Name: "seed", Usage: "`IP:PORT` of another process; up to three"},
		&cli.StringFlag{Name: "cluster", Usage: "`NAME` of the cluster as printed by init; the process then joins no other cluster"},
		&cli.StringFlag{Name: "node", Usage: "`NAME` of the machine, needed to retire it"},
		&cli.IntFlag{Name: "tolerate", Usage: "`COUNT` of machines that may be lost with their disks at the same time, 1 or 2; lost disks are then replaced automatically"},
		&cli.BoolFlag{Name: "found", Usage: "first start of the whole system: the seeds form a new cluster"},
		&cli.Int64Flag{Name: "memory-limit-bytes", Usage: "`BYTES` of memory that the process may use; half of the machine's if not given"},
		&cli.StringFlag{Name: "log", Value: "text", Usage: "log `FORMAT`: text or json"},
		&cli.StringFlag{Name: "log-level", Value: "info", Usage: "`LEVEL`: debug, info, warn or error"},
	}
}

// LoadConfig reads the settings file, applies the flags over it, sets up logging
// and validates the result. config holds the defaults.
func LoadConfig(command *cli.Command, config Config, allowedRoles ...string) (*Config, error) {
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
	if command.IsSet("memory-limit-bytes") {
		config.MemoryBytes = command.Int64("memory-limit-bytes")
	}
	violations := config.Validate(allowedRoles...)
	switch command.String("log") {
	case "text":
		StartLogging(TextLog)
	case "json":
		StartLogging(JSONLog)
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

// process is a Gateway, a Core or a Storage.
type process interface {
	Handler() http.Handler
	Start()
	Ready() error
	Drain(timeout time.Duration)
	Stop()
}

// Daemon is a process that is set up and listens on its internal address.
type Daemon struct {
	Env           Env
	Process       process
	PublicHandler Handler

	memoryBytes      int64 // of the machine, 0 if not known
	internalListener net.Listener
	internalServer   *http.Server
	cleanup          base.Cleanup
}

// Open sets up the process of a configuration. Until ctx ends it waits for its address if
// another socket holds that, and for the disk of a storage node. Start starts it, and Close stops
// it and releases its resources.
func Open(ctx context.Context, config *Config, names *relay.WireNames) (*Daemon, error) {
	d := &Daemon{memoryBytes: config.MemoryBytes}
	counters := base.NewCounters()
	httpClient, err := conn.NewClient(func() { counters.Add("messages_sent", 1) })
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.cleanup.Push(httpClient.Close)
	d.Env = Env{Clock: base.NewRealClock(), HTTPClient: httpClient, Counters: counters, Backends: workerconn.New(base.DefaultBounds().Recovery/12, counters), Names: names}
	d.Env.Memory = memory.NewBudget(d.Env.Clock, counters, config.MemoryBytes)
	if d.internalListener, err = tcp.Listen(ctx, config.Addr); err != nil {
		d.cleanup.Run()
		return nil, err
	}
	d.cleanup.Push(func() { _ = d.internalListener.Close() })
	if d.Process, d.PublicHandler, err = newProcess(ctx, d.Env, config); err != nil {
		d.cleanup.Run()
		return nil, err
	}
	conns := newConnLimiter(d.Env.Clock, counters, config.Connections().Nodes)
	d.internalServer = &http.Server{Handler: withCounters(d.Process.Handler(), counters), ConnState: conns.onStateChange, ErrorLog: discardedErrors,
		ReadHeaderTimeout: messageReadTimeout, IdleTimeout: messageIdleTimeout, MaxHeaderBytes: maxMessageHeaderBytes}
	d.cleanup.Push(func() { _ = d.internalServer.Close() })
	return d, nil
}

// Start serves the other nodes and starts the background tasks of the process.
func (d *Daemon) Start() {
	go func() { _ = d.internalServer.Serve(d.internalListener) }()
	d.Process.Start()
	closed := d.Env.Clock.NewSignal()
	d.cleanup.Push(closed.Fire)
	go logMemoryLevel(d.memoryBytes, d.Env.Counters, closed)
}

// Close stops the tasks of the process and releases its resources.
func (d *Daemon) Close() {
	d.Process.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = d.internalServer.Shutdown(ctx)
	d.cleanup.Run()
}

// RunDaemon serves until SIGTERM or SIGINT; SIGHUP is ignored. It then stops accepting requests,
// finishes those that it has read, hands over what the process owns, and returns
// nil for a clean exit code.
func RunDaemon(config *Config) error {
	if config.MemoryBytes == 0 {
		config.MemoryBytes = defaultMemoryBytes()
	}
	LimitHeap(config.MemoryBytes)
	entry := LogStarting(config)
	ctx := StopContext(entry)
	publicListener, err := tcp.Listen(ctx, config.PublicAddr)
	if err != nil {
		return StartError(ctx, err)
	}
	defer publicListener.Close()
	daemon, err := Open(ctx, config, &relay.WireNames{})
	if err != nil {
		return StartError(ctx, err)
	}
	defer daemon.Close()
	proc := daemon.Process
	publicServer := NewPublicServer(daemon.Env, config.Connections().Clients, proc.Ready, daemon.PublicHandler)
	serveErr := make(chan error, 1)
	go func() { serveErr <- publicServer.Serve(publicListener) }()
	daemon.Start()
	entry.Info("started")
	go LogReadiness(daemon.Env.Clock, proc.Ready, entry)
	select {
	case err := <-serveErr:
		return errors.Annotate(err, "the public server failed")
	case <-ctx.Done():
	}
	drainTimeout := 2 * base.DefaultBounds().Recovery
	drained := make(chan struct{})
	go func() { proc.Drain(drainTimeout); close(drained) }()
	if err := publicServer.Shutdown(drainTimeout); err != nil {
		entry.WithError(err).Warn("some requests were still open")
	}
	<-drained
	entry.Info("stopped")
	return nil
}

// newProcess returns the process of the configured role and the handler of its
// public address.
func newProcess(ctx context.Context, env Env, config *Config) (process, Handler, error) {
	switch config.Role {
	case "edge":
		gateway := NewGateway(env, *config)
		gateway.Access.OnRulesChange = func(version uint64, teams int) {
			log.WithFields(log.Fields{"stamp": version, "teams": teams}).Info("access rules in force")
		}
		return gateway, gateway.Front.Handle, nil
	case "core":
		if config.DataDir != "" {
			files, err := disk.OpenFolder(config.DataDir, config.DiskLimitBytes)
			if err != nil {
				log.WithError(err).Warn("going on without a disk")
			} else {
				env.Files = files
			}
		}
		core := NewCore(env, *config)
		return core, core.OperatorAPI.Handle, nil
	}
	storage, err := openStorage(ctx, env, config)
	if err != nil {
		return nil, nil, err
	}
	return storage, NotFound, nil
}
