package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/budgeter"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/launcher"
	"savoryloft.example/savoryloft/logger"
	"savoryloft.example/savoryloft/platform"
	"savoryloft.example/savoryloft/tracer"
)

const (
	// userTimeout is the TCP_USER_TIMEOUT of connections to upstreams and other instances. It
	// fails connections to hosts that have lost power or are behind a network partition, but
	// not to upstreams that are silent for a second or so.
	userTimeout         = 3 * time.Second
	platformUserTimeout = time.Second // The same for connections to the platform's services.
	connectTimeout      = time.Second
	idleTimeout         = 20 * time.Second // For connections to upstreams, whose own idle timeout is usually shorter.
	dutyTimeout         = 800 * time.Millisecond
	bufferMemoryDivisor = 16  // The part of the memory limit that responses of upstreams may take while they are read as a whole.
	budgetMemoryDivisor = 3   // The part of the memory limit that data of clients and upstreams may take.
	memoryLimitFraction = 0.5 // Fraction of the memory limit above which the garbage collector runs more often.
	gcPercent           = 100 // Heap growth between collections, in percent; kept low because small machines have little memory.
)

const edgeUsage = `Edge runs an entry instance that is deployed by the platform, until it receives
SIGTERM or SIGINT. It reads the settings file that the platform writes; the
environment variable ` + platform.SettingsVariable + ` holds the path of the file.

A shutdown interrupts no request: the readiness probe fails first, new requests
are accepted until the load balancer has removed the instance, and requests in
flight finish within the grace period of the settings. The settings file is
reloaded on SIGHUP and when it changes. Limits and seeds take effect at once, all
other settings after a restart.

Log events go to standard output, one line of key=value pairs each.

Example:

  savoryloft edge --settings /etc/savoryloft/boot.toml
  savoryloft edge --check --settings boot.toml`

func edgeCommand() *cobra.Command {
	var file string
	var verbosity int
	var check, queue bool
	c := &cobra.Command{
		Use:   "edge",
		Short: "Run an entry instance that is deployed by the platform",
		Long:  edgeUsage,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if file == "" {
				file = platform.SettingsPath()
			}
			if check {
				if _, err := platform.ReadSettings(file); err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout(), "ok")
				return nil
			}
			return runEdge(file, verbosity, queue)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "path of the settings file (or set "+platform.SettingsVariable+")")
	c.Flags().BoolVar(&check, "check", false, "validate the settings file and exit")
	c.Flags().BoolVar(&queue, "queue", false, "let requests with prompts wait while the upstreams have no room")
	c.Flags().IntVar(&verbosity, "verbosity", 0, "log verbosity; 1 adds details")
	return c
}

func runEdge(file string, verbosity int, queue bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	modified := modificationTime(file)
	d, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	applyRuntimeLimits(d.Limits)
	out := logger.NewWriter(os.Stdout)
	defer out.Close()
	log := logger.New(out, verbosity).WithValues("instance", d.Instance)
	memory := &budgeter.Budget{}
	memory.SetLimit(d.Limits.MemoryBytes / budgetMemoryDivisor)
	pool := &exchanger.Pool{
		Dial:        exchanger.Dialer{UserTimeout: userTimeout, ConnectTimeout: connectTimeout}.Dial,
		IdleTimeout: idleTimeout, MaxBufferedBytes: d.Limits.MemoryBytes / bufferMemoryDivisor, Memory: memory,
	}
	platformPool := &exchanger.Pool{
		Dial:        exchanger.Dialer{UserTimeout: platformUserTimeout, ConnectTimeout: connectTimeout}.Dial,
		IdleTimeout: idleTimeout, MaxBufferedBytes: pool.MaxBufferedBytes, Memory: memory,
	}
	l := &launcher.Launcher{
		Deployment: d, Wire: platform.Wire{}, Decoder: platform.Decoder{},
		Log:        &platform.LogClient{Address: d.LogAddress, Pool: platformPool},
		DutyTarget: &platform.DutyClient{Address: d.DutyAddress, Instance: d.Instance, Pool: platformPool, Timeout: dutyTimeout},
		Pool:       pool, PlatformPool: platformPool, Memory: memory, QueueRequests: queue, Logger: log, Tracer: tracer.Noop(),
		ReadinessPath: platform.ReadinessPath, MetricsPath: platform.MetricsPath,
	}
	reload := &reloader{file: file, hangups: hangups, modified: modified, current: d, logger: log, memory: memory, addSeeds: l.AddSeeds}
	go reload.run(ctx)
	return l.Run(ctx)
}

// applyRuntimeLimits sets the number of processors and the parameters of the
// garbage collector from the resource limits of the process. A limit of 0 leaves
// the current value of the runtime unchanged.
func applyRuntimeLimits(l savoryloft.DeploymentLimits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(l.Cores)
	}
	debug.SetGCPercent(gcPercent)
	if l.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(l.MemoryBytes) * memoryLimitFraction))
	}
}

// reloader reloads the settings file on SIGHUP and when its modification time
// changes. Limits and seeds take effect at once. All other settings, such as the
// addresses, are fixed at startup and need a restart. An invalid file has no
// effect.
type reloader struct {
	file     string
	hangups  <-chan os.Signal // Receives each SIGHUP.
	modified time.Time        // Modification time of the file before current was read; zero if it is unknown.
	current  savoryloft.Deployment
	logger   logr.Logger
	memory   *budgeter.Budget
	addSeeds func(addresses []string) // Adds addresses of instances to connect to.
}

const pollInterval = 2 * time.Second // Between checks of the modification time; the file may change without a signal.

func (r *reloader) run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangups:
			r.reload("SIGHUP")
		case <-t.C:
			r.reloadIfChanged()
		}
	}
}

// reloadIfChanged reloads the settings if the file has been modified since it was
// last read.
func (r *reloader) reloadIfChanged() {
	if modified := modificationTime(r.file); !modified.IsZero() && !modified.Equal(r.modified) {
		r.modified = modified
		r.reload("file changed")
	}
}

// modificationTime returns the modification time of a file, or the zero time if it
// can not be read.
func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (r *reloader) reload(trigger string) {
	d, err := platform.ReadSettings(r.file)
	if err != nil {
		r.logger.Info("settings reload failed; keeping the last valid settings", "why", trigger, "error", err.Error())
		return
	}
	immediate, deferred := r.changedSettings(d)
	r.current = d
	applyRuntimeLimits(d.Limits)
	r.memory.SetLimit(d.Limits.MemoryBytes / budgetMemoryDivisor)
	r.addSeeds(d.Seeds)
	r.logger.Info("settings reloaded", "why", trigger, "in_force", immediate, "from_next_start", deferred)
}

// changedSettings returns the names of the settings that differ from the current
// ones: those that take effect immediately and those that need a restart.
func (r *reloader) changedSettings(d savoryloft.Deployment) (immediate, deferred []string) {
	old, updated := reflect.ValueOf(r.current), reflect.ValueOf(d)
	for i := range old.NumField() {
		if reflect.DeepEqual(old.Field(i).Interface(), updated.Field(i).Interface()) {
			continue
		}
		switch name := old.Type().Field(i).Name; name {
		case "Limits", "Seeds":
			immediate = append(immediate, name)
		default:
			deferred = append(deferred, name)
		}
	}
	return immediate, deferred
}
