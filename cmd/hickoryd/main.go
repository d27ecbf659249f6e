// Command hickoryd runs one entry VM of hickoryroute. All entry VMs have the
// same role.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/entry"
)

// version is set by the linker in release builds.
var version = "dev"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errOut io.Writer) int {
	var s settings
	parser, err := arg.NewParser(arg.Config{Program: "hickoryd"}, &s)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return 2
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(out)
		return 0
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, s.Version())
		return 0
	case err != nil:
		fmt.Fprintln(errOut, err)
		return 2
	}
	log, config, errs := s.buildConfig(errOut)
	if len(errs) > 0 {
		for _, e := range errs {
			fmt.Fprintln(errOut, "hickoryd:", e)
		}
		return 2
	}
	return serve(log, config, s.redactedFields())
}

// serve runs the entry VM until a signal arrives and returns the exit code. The
// first SIGTERM or interrupt starts a planned stop; a second one ends the
// process at once.
func serve(log *logrus.Logger, config entry.Config, redacted logrus.Fields) int {
	vm, err := entry.Start(context.Background(), config)
	if err != nil {
		log.WithError(err).Error("entry VM did not start")
		return 1
	}
	vm.LogSettings(redacted)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	stopped := make(chan error, 1)
	go func() { stopped <- vm.Stop(context.Background()) }()
	select {
	case err := <-stopped:
		if err != nil {
			log.WithError(err).Error("planned stop interrupted requests")
			return 1
		}
		return 0
	case <-signals:
		vm.Kill()
		return 1
	}
}
