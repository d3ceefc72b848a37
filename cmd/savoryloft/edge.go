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
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/launcher"
	"savoryloft.example/savoryloft/logger"
	"savoryloft.example/savoryloft/platform"
	"savoryloft.example/savoryloft/tracer"
)

const (
	// unacknowledgedLimit fails connections whose bytes are not acknowledged: a
	// peer without power or behind a partition answers nothing.
	unacknowledgedLimit = time.Second
	dialLimit           = time.Second
	idleLimit           = 20 * time.Second // Idle connections to upstreams; their own limit is mostly shorter.
	dutyTimeout         = 800 * time.Millisecond
	memoryPart          = 0.5 // Part of the memory limit at which the collector works harder.
	collectorPercent    = 100 // Heap growth between collections; small machines have little memory.
)

const edgeUsage = `Edge runs an entry instance on the prepared platform until it gets SIGTERM or
SIGINT. It reads the settings file that the platform writes; its path stands in
the environment variable ` + platform.SettingsVariable + `.

A planned stop cuts no request: the readiness probe fails first, requests go on
until the balancer has noticed, and running ones finish within the grace time of
the settings. On SIGHUP and when the file changes it is read again: limits and
seeds are in force at once, the rest from the next start.

Log events go to standard output, one line of key=value pairs each.

Example:

  savoryloft edge --settings /etc/savoryloft/boot.toml
  savoryloft edge --check --settings boot.toml`

func edgeCommand() *cobra.Command {
	var file string
	var verbosity int
	var check bool
	c := &cobra.Command{
		Use:   "edge",
		Short: "Run an entry instance on the prepared platform",
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
			return edge(file, verbosity)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file of the platform; the one that "+platform.SettingsVariable+" names when empty")
	c.Flags().BoolVar(&check, "check", false, "check the settings file and exit")
	c.Flags().IntVar(&verbosity, "verbosity", 0, "log level; 1 adds details")
	return c
}

func edge(file string, verbosity int) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	limitResources(d.Limits)
	out := logger.NewWriter(os.Stdout)
	defer out.Close()
	log := logger.New(out, verbosity).WithValues("instance", d.Instance)
	pool := &exchanger.Pool{
		Dial:        exchanger.Dialer{UserTimeout: unacknowledgedLimit, ConnectTimeout: dialLimit}.Dial,
		IdleTimeout: idleLimit,
	}
	l := &launcher.Launcher{
		Deployment: d, Wire: platform.Wire{}, Decoder: platform.Decoder{},
		Log:    &platform.Store{Address: d.LogAddress, Pool: pool},
		Target: &platform.DutyClient{Address: d.DutyAddress, Instance: d.Instance, Pool: pool, Timeout: dutyTimeout},
		Pool:   pool, Logger: log, Tracer: tracer.Noop(),
		Readiness: platform.ReadinessPath, Metrics: platform.MetricsPath,
	}
	reload := &reloader{file: file, current: d, logger: log, seeds: l.AddSeeds}
	go reload.run(ctx)
	return l.Run(ctx)
}

// limitResources fits the runtime to what the process may use.
func limitResources(l savoryloft.DeploymentLimits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(l.Cores)
	}
	debug.SetGCPercent(collectorPercent)
	if l.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(l.MemoryBytes) * memoryPart))
	}
}

// reloader reads the settings file again when it may have changed. Limits and
// seeds are in force at once; what an instance is bound to at its start, such as
// its addresses, from the next start. A file that is not valid changes nothing.
type reloader struct {
	file    string
	current savoryloft.Deployment
	logger  logr.Logger
	seeds   func(addresses []string) // Takes addresses of instances for links.
}

const reloadInterval = 2 * time.Second // Between looks at the file, which may change without a signal.

func (r *reloader) run(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	var modified time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.reload("SIGHUP")
		case <-t.C:
			info, err := os.Stat(r.file)
			if err != nil || info.ModTime().Equal(modified) {
				continue
			}
			if !modified.IsZero() {
				r.reload("file changed")
			}
			modified = info.ModTime()
		}
	}
}

func (r *reloader) reload(why string) {
	d, err := platform.ReadSettings(r.file)
	if err != nil {
		r.logger.Info("settings not reloaded; the last valid ones stay in force", "why", why, "error", err.Error())
		return
	}
	now, later := r.changes(d)
	r.current = d
	limitResources(d.Limits)
	r.seeds(d.Seeds)
	r.logger.Info("settings read again", "why", why, "in_force", now, "from_next_start", later)
}

// changes returns the names of the settings that differ from the current ones:
// those that are in force at once, and those from the next start.
func (r *reloader) changes(d savoryloft.Deployment) (now, later []string) {
	old, read := reflect.ValueOf(r.current), reflect.ValueOf(d)
	for i := range old.NumField() {
		if reflect.DeepEqual(old.Field(i).Interface(), read.Field(i).Interface()) {
			continue
		}
		switch name := old.Type().Field(i).Name; name {
		case "Limits", "Seeds":
			now = append(now, name)
		default:
			later = append(later, name)
		}
	}
	return now, later
}
