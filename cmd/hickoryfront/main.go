// Command hickoryfront runs one entry VM on the users' platform. All entry VMs
// are alike: each carries requests, answers look-ups and reads the platform's
// store itself.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alexflint/go-arg"
	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/coordination/feed"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/gateway"
	"hickoryroute/pkg/steering/limit"
	"hickoryroute/pkg/transport/netconn"
	"hickoryroute/platform"
)

type arguments struct {
	Settings string `arg:"--settings" help:"path of the platform's settings file; the platform names it in the environment"`
	LogLevel string `arg:"--log-level,env:HICKORYROUTE_LOG_LEVEL" default:"info" help:"lowest level of log lines: debug, info, warn or error"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "hickoryfront runs one entry VM of hickoryroute on the users' platform."
}

const (
	// headerTimeout and callerIdleTimeout exceed the operator's limits on
	// callers, so that a caller within them is never cut off.
	headerTimeout     = 10 * time.Second
	callerIdleTimeout = 60 * time.Second
	// maxCallerHeader bounds the head of a request.
	maxCallerHeader = 64 << 10
	// logCloseTime is the time for writing the last log lines.
	logCloseTime = 100 * time.Millisecond
	// memoryTarget makes the garbage collector work harder near this size; the
	// VMs have some hundred megabytes.
	memoryTarget = 128 << 20
)

func main() { os.Exit(run()) }

func run() int {
	args := arguments{Settings: os.Getenv(platform.SettingsPathVariable)}
	arg.MustParse(&args)
	debug.SetMemoryLimit(memoryTarget)
	settings, err := platform.LoadSettings(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hickoryfront:", err)
		return 2
	}
	level, err := logrus.ParseLevel(args.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hickoryfront: --log-level:", err)
		return 2
	}
	out := eventlog.NewAsyncWriter(os.Stdout)
	defer out.Close(logCloseTime)
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	logger := eventlog.New(log, nil)
	if err := serve(settings, args.Settings, logger, out); err != nil {
		log.WithError(err).Error("hickoryfront ends")
		return 1
	}
	return 0
}

func newGateway(s *platform.Settings, logger *eventlog.Logger, out *eventlog.AsyncWriter) *gateway.Gateway {
	store := platform.NewStore(s.StoreAddress)
	return gateway.New(gateway.Config{
		Self: feed.VM{
			ID:            fmt.Sprintf("%s-%d", s.CallerAddress, time.Now().UnixNano()),
			CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress, Zone: s.Zone, Region: s.Region,
			Cores: s.Cores, LinkMbps: s.LinkMbps,
		},
		Regions:           s.Regions,
		Store:             store,
		Feed:              store,
		Layout:            platform.Layout(),
		Timing:            feed.DefaultTiming(),
		Dialect:           platform.Dialect(),
		ParseResponseHead: platform.ParseResponseHead,
		Resends:           limit.ResendConfig{Share: s.RetryShare, Slack: s.RetrySlack, Window: s.RetryWindow},
		MaxSpillChange:    s.MaxSpillChange,
		GracePeriod:       s.GracePeriod,
		Logger:            logger,

		DroppedLogLines: out.Dropped,
	})
}

func serve(s *platform.Settings, path string, logger *eventlog.Logger, out *eventlog.AsyncWriter) error {
	g := newGateway(s, logger, out)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.Run(ctx)

	listener, err := listen(ctx, s.CallerAddress)
	if err != nil {
		return err
	}
	callers := netconn.NewGracefulListener(listener)
	front := newServer(&platform.CallerHandler{Gateway: g})
	front.ConnState = callers.TrackState
	system := platform.NewSystemHandler(g, s.MaxLookupTTL)
	failed := make(chan error, 1)
	for _, l := range []struct {
		address string
		serve   func(net.Listener) error
	}{
		{s.ReadyAddress, newServer(system).Serve},
		{s.LookupAddress, newServer(system).Serve},
		{s.MetricsAddress, newServer(metricsHandler(g)).Serve},
		{s.PeerAddress, g.ServePeers},
	} {
		listener, err := listen(ctx, l.address)
		if err != nil {
			return err
		}
		go func() { failed <- l.serve(listener) }()
	}
	go func() {
		// A planned stop closes this listener before the process ends.
		if err := front.Serve(callers); !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	}()
	logger.Log(gateway.EventStarted, eventlog.Fields{
		"vm": s.Name, "zone": s.Zone, "caller_address": s.CallerAddress, "first_start": s.FirstStart,
	})
	return await(ctx, g, callers, path, logger, failed)
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxCallerHeader,
	}
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	config := netconn.ListenConfig()
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen; check that the address is free")
	}
	return listener, nil
}

func metricsHandler(g *gateway.Gateway) http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		g.Metrics().WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	r.Get("/status", g.ServeStatus)
	return r
}

// await runs until a signal ends the process. SIGHUP reads the settings file
// again; its fields describe the place of the process, which takes changes at
// its next start.
func await(ctx context.Context, g *gateway.Gateway, callers *netconn.GracefulListener, path string, logger *eventlog.Logger, failed <-chan error) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	for {
		select {
		case err := <-failed:
			return errors.Wrap(err, "server ended")
		case s := <-signals:
			if s != syscall.SIGHUP {
				g.Stop(ctx, callers.StopAccepting)
				return nil
			}
			reload(path, logger)
		}
	}
}

func reload(path string, logger *eventlog.Logger) {
	fields := eventlog.Fields{"path": path}
	if _, err := platform.LoadSettings(path); err != nil {
		fields["error"] = err.Error()
	}
	logger.Log(gateway.EventSettingsReloaded, fields)
}
