// Command standin runs a stand-in for the platform or for a target as a daemon.
// It prints its listening address as one line on standard output and stops upon
// SIGTERM or an interrupt.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"hickoryroute/pkg/standin/platform"
	"hickoryroute/pkg/standin/target"
)

const (
	// stopTimeout is the longest wait for running requests when the daemon stops.
	stopTimeout = 5 * time.Second
	// crashStatus is the exit status after a simulated crash.
	crashStatus = 70
)

type platformArgs struct {
	Listen    string        `arg:"--listen,env:STANDIN_LISTEN" default:"127.0.0.1:0" help:"listening address"`
	Reads     float64       `arg:"--reads,env:STANDIN_READS" default:"2000" help:"reads per second"`
	Writes    float64       `arg:"--writes,env:STANDIN_WRITES" default:"400" help:"writes per second"`
	VMListLag time.Duration `arg:"--vm-list-lag,env:STANDIN_VM_LIST_LAG" default:"2s" help:"age of the VM list"`
}

type targetArgs struct {
	Listen      string        `arg:"--listen,env:STANDIN_LISTEN" default:"127.0.0.1:0" help:"listening address"`
	Name        string        `arg:"--name,env:STANDIN_NAME" default:"target" help:"name in responses"`
	Slots       int           `arg:"--slots,env:STANDIN_SLOTS" default:"4" help:"requests that run at the same time"`
	Queue       int           `arg:"--queue,env:STANDIN_QUEUE" default:"400" help:"requests that wait for a slot; -1 for none"`
	ServiceTime time.Duration `arg:"--service-time,env:STANDIN_SERVICE_TIME" default:"20ms" help:"median service time"`
	Sigma       float64       `arg:"--sigma,env:STANDIN_SIGMA" default:"0.3" help:"standard deviation of the logarithm of the service time"`
	LongShare   float64       `arg:"--long-share,env:STANDIN_LONG_SHARE" help:"share of long requests"`
	LongFactor  float64       `arg:"--long-factor,env:STANDIN_LONG_FACTOR" default:"20" help:"factor on the service time of long requests"`
	Seed        uint64        `arg:"--seed,env:STANDIN_SEED" default:"1" help:"seed of the service times"`
	LoadLag     time.Duration `arg:"--load-lag,env:STANDIN_LOAD_LAG" default:"2s" help:"age of the load report"`
	StartTime   time.Duration `arg:"--start-time,env:STANDIN_START_TIME" help:"time in the state starting"`
	ColdTime    time.Duration `arg:"--cold-time,env:STANDIN_COLD_TIME" help:"time after the first request until service times are normal"`
	ColdFactor  float64       `arg:"--cold-factor,env:STANDIN_COLD_FACTOR" default:"4" help:"factor on the service time of a cold target"`
	CrashMarker string        `arg:"--crash-marker,env:STANDIN_CRASH_MARKER" help:"text in a path or body that crashes the target"`
	RestartTime time.Duration `arg:"--restart-time,env:STANDIN_RESTART_TIME" help:"time down after a crash; 0 ends the process"`
}

type arguments struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"run the platform stand-in"`
	Target   *targetArgs   `arg:"subcommand:target" help:"run a target stand-in"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	address, handler := "", http.Handler(nil)
	switch {
	case args.Platform != nil:
		address, handler = args.Platform.Listen, args.Platform.handler()
	case args.Target != nil:
		address, handler = args.Target.Listen, args.Target.handler()
	default:
		parser.Fail("the subcommand platform or target is required")
	}
	if err := serve(address, handler); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func (a *platformArgs) handler() http.Handler {
	return platform.New(platform.Config{
		ReadsPerSecond:  a.Reads,
		WritesPerSecond: a.Writes,
		VMListLag:       a.VMListLag,
	}).Handler()
}

func (a *targetArgs) handler() http.Handler {
	cfg := target.Config{
		Name:        a.Name,
		Slots:       a.Slots,
		Queue:       a.Queue,
		ServiceTime: a.ServiceTime,
		Sigma:       a.Sigma,
		LongShare:   a.LongShare,
		LongFactor:  a.LongFactor,
		Seed:        a.Seed,
		LoadLag:     a.LoadLag,
		StartTime:   a.StartTime,
		ColdTime:    a.ColdTime,
		ColdFactor:  a.ColdFactor,
		CrashMarker: a.CrashMarker,
		RestartTime: a.RestartTime,
	}
	if a.RestartTime == 0 {
		cfg.Exit = func() { os.Exit(crashStatus) }
	}
	return target.New(cfg).Handler()
}

// serve serves HTTP requests until a signal arrives.
func serve(address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: stopTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	stop()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		return server.Close()
	}
	return nil
}
