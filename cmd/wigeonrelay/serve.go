package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"wigeonshift/internal/modules/wigeonlog"
	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/modules/wigeonsocket"
	"wigeonshift/internal/routers/wigeongateway"
	"wigeonshift/platform"

	"github.com/sirupsen/logrus"
)

const (
	// gcMemoryShare is the share of the configured memory that is set as the Go runtime's memory limit.
	gcMemoryShare = 0.6
	// gcPercent is below Go's default of 100 because an instance has more processor time to spare than memory.
	gcPercent = 50
)

// serveCommand runs one instance of the relay.
type serveCommand struct {
	Config string `short:"c" required:"" type:"path" env:"WIGEONSHIFT_CONFIG" help:"Settings file."`
}

// Run starts the instance, waits for SIGINT or SIGTERM and drains the instance.
func (c *serveCommand) Run() error {
	settings, err := wigeonsetting.LoadRelay(c.Config)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(settings.Limits.Cores)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(gcMemoryShare * float64(settings.Limits.MemoryMegabytes) * (1 << 20)))
	out := wigeonlog.NewBoundedWriter(os.Stdout)
	defer out.Flush()
	log, err := wigeonlog.New(settings.Log, out)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	r := &reloader{path: c.Config, settings: settings, log: log}
	r.start()
	defer r.stop()
	gateway := wigeongateway.New(settings, wigeongateway.Platform{
		Store:   platform.NewStore(settings.Platform.Address, (&storeDialer{log: log}).dial),
		Codec:   platform.Codec{},
		Dialect: platform.Dialect{},
	}, log)
	if err := gateway.Start(context.Background()); err != nil {
		return err
	}
	<-ctx.Done()
	return gateway.Stop()
}

// storeDialer opens connections to the store and logs them.
type storeDialer struct {
	log logrus.FieldLogger
	// dials counts the connections that were opened.
	dials atomic.Int64
}

func (d *storeDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := wigeonsocket.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	d.log.WithFields(logrus.Fields{"local": c.LocalAddr().String(), "dials": d.dials.Add(1)}).Info("connected to the store")
	return c, nil
}

// reloader checks the settings file on SIGHUP and logs whether it changed. Changes only take effect at the next start
// because addresses and limits are fixed while the process runs.
type reloader struct {
	path     string
	settings wigeonsetting.Relay
	log      logrus.FieldLogger
	signals  chan os.Signal
	done     chan struct{}
}

func (r *reloader) start() {
	r.signals, r.done = make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(r.signals, syscall.SIGHUP)
	go r.run()
}

func (r *reloader) stop() {
	signal.Stop(r.signals)
	close(r.signals)
	<-r.done
}

func (r *reloader) run() {
	defer close(r.done)
	for range r.signals {
		settings, err := wigeonsetting.LoadRelay(r.path)
		if err != nil {
			r.log.WithError(err).Error("failed to reload settings; keeping the current ones")
			continue
		}
		changed := settings != r.settings
		r.log.WithField("changed", changed).Info("settings reloaded; changes take effect at the next start")
	}
}
