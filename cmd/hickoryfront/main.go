// Command hickoryfront runs one entry VM on the users' platform. All entry VMs
// have the same role: each one routes requests, answers lookups and follows the
// platform's store.
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
	"hickoryroute/pkg/coordination/quota"
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
	// callers, so that a caller within them is never disconnected.
	headerTimeout     = 10 * time.Second
	callerIdleTimeout = 60 * time.Second
	// maxHeaderBytes limits the request line and headers of a request.
	maxHeaderBytes = 64 << 10
	// logCloseTimeout limits the writing of the last log lines.
	logCloseTimeout = 100 * time.Millisecond
	// memoryLimit is the soft memory limit of the Go runtime in bytes, above
	// which it collects garbage more often. The VMs have a few hundred megabytes.
	memoryLimit = 128 << 20
)

func main() {
	// SIGHUP ends a process that does not expect it, and the platform may change
	// the settings while this process starts.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP)
	os.Exit(run(signals))
}

func run(signals chan os.Signal) int {
	args := arguments{Settings: os.Getenv(platform.SettingsPathVariable)}
	arg.MustParse(&args)
	debug.SetMemoryLimit(memoryLimit)
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
	logWriter := eventlog.NewAsyncWriter(os.Stdout)
	defer logWriter.Close(logCloseTimeout)
	log := logrus.New()
	log.SetOutput(logWriter)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	logger := eventlog.New(log, nil)
	if err := serve(settings, args.Settings, logger, logWriter, signals); err != nil {
		log.WithError(err).Error("hickoryfront failed")
		return 1
	}
	return 0
}

func newGateway(s *platform.Settings, logger *eventlog.Logger, logWriter *eventlog.AsyncWriter) *gateway.Gateway {
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
		Quota:             quota.Params{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack},
		MaxSpillChange:    s.MaxSpillChange,
		RevokeWithin:      s.RevokeWithin,
		MaxDescriptors:    s.MaxDescriptors,
		FirstStart:        s.FirstStart,
		GracePeriod:       s.GracePeriod,
		Logger:            logger,

		DroppedLogLines: logWriter.Dropped,
	})
}

func serve(s *platform.Settings, settingsPath string, logger *eventlog.Logger, logWriter *eventlog.AsyncWriter, signals chan os.Signal) error {
	g := newGateway(s, logger, logWriter)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.Run(ctx)

	listener, err := listen(ctx, s.CallerAddress)
	if err != nil {
		return err
	}
	callerListener := netconn.NewGracefulListener(listener, 0, nil)
	callerListener.RegisterMetrics(g.Metrics())
	callerServer := newServer(&platform.CallerHandler{Gateway: g})
	callerServer.ConnState = callerListener.TrackState
	callerServer.ConnContext = netconn.WithConn
	systemHandler := platform.NewSystemHandler(g, s.MaxLookupTTL)
	serveErrors := make(chan error, 1)
	for _, endpoint := range []struct {
		address string
		serve   func(net.Listener) error
	}{
		{s.ReadyAddress, newServer(systemHandler).Serve},
		{s.LookupAddress, newServer(systemHandler).Serve},
		{s.MetricsAddress, newServer(metricsHandler(g)).Serve},
		{s.PeerAddress, g.ServePeers},
	} {
		listener, err := listen(ctx, endpoint.address)
		if err != nil {
			return err
		}
		go func() { serveErrors <- endpoint.serve(listener) }()
	}
	go func() {
		// A planned stop closes this listener before the process exits, which is
		// not an error.
		if err := callerServer.Serve(callerListener); !errors.Is(err, net.ErrClosed) {
			serveErrors <- err
		}
	}()
	logger.Log(gateway.EventStarted, eventlog.Fields{
		"vm": s.Name, "zone": s.Zone, "caller_address": s.CallerAddress, "first_start": s.FirstStart,
	})
	return waitForStop(ctx, g, callerListener, settingsPath, logger, signals, serveErrors)
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := netconn.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen; check that no other process uses the address")
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

// waitForStop returns after a planned stop, which a signal starts, or when a
// server fails. signals already receives SIGHUP, which only checks the settings
// file: changes to it take effect at the next start, because its fields describe
// where the process runs.
func waitForStop(ctx context.Context, g *gateway.Gateway, callerListener *netconn.GracefulListener, settingsPath string, logger *eventlog.Logger, signals chan os.Signal, serveErrors <-chan error) error {
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	for {
		select {
		case err := <-serveErrors:
			return errors.Wrap(err, "server failed")
		case received := <-signals:
			if received != syscall.SIGHUP {
				g.Stop(ctx, callerListener.StopAccepting)
				return nil
			}
			checkSettings(settingsPath, logger)
		}
	}
}

// checkSettings reads the settings file and logs whether it is valid.
func checkSettings(settingsPath string, logger *eventlog.Logger) {
	fields := eventlog.Fields{"path": settingsPath}
	if _, err := platform.LoadSettings(settingsPath); err != nil {
		fields["error"] = err.Error()
	}
	logger.Log(gateway.EventSettingsReloaded, fields)
}
