package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/demo"
)

// demoFirstPort makes the first operator port the default of --address.
const demoFirstPort = 7000

type demoCommand struct {
	Requests int  `arg:"--requests" help:"requests to serve; 0 runs until interrupted"`
	Verbose  bool `arg:"--verbose" help:"write the log events of the VMs to standard error"`
}

func (c *demoCommand) run(ctx context.Context, e *environment) error {
	config := demo.Config{Requests: c.Requests, Out: e.out}
	if c.Requests == 0 {
		config.BasePort = demoFirstPort
	}
	if c.Verbose {
		log := logrus.New()
		log.SetOutput(e.errOut)
		config.Log = log
	}
	result, err := demo.Run(ctx, config)
	if err != nil {
		return err
	}
	if c.Requests == 0 {
		return nil
	}
	fmt.Fprintf(e.out, "served=%d failed=%d\n", result.Served, result.Failed)
	if result.Failed > 0 || result.Served != c.Requests {
		return errors.Errorf("%d of %d requests were not served", c.Requests-result.Served, c.Requests)
	}
	return nil
}
