package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/state/route"
	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/transport/operatorhttp"
	"hickoryroute/platform"
)

// checkConfigCommand checks a configuration of the users' platform before it is sent.
type checkConfigCommand struct {
	File    string   `arg:"positional,required" help:"configuration in JSON, - for standard input"`
	Against string   `arg:"--against" help:"file with the configuration in force"`
	Store   string   `arg:"--store" help:"address of the platform's store, from which the configuration in force is read"`
	Regions []string `arg:"--regions" help:"regions of the deployment"`
	Strict  bool     `arg:"--strict" help:"fail on warnings as well"`
}

// configCheck is the result of a check.
type configCheck struct {
	Version  uint64            `json:"version"`
	Findings []route.Finding   `json:"findings"`
	Against  uint64            `json:"against,omitempty"` // version in force
	Changes  []settings.Change `json:"changes,omitempty"`
}

// errInvalidConfig is returned for a configuration that must not be sent.
var errInvalidConfig = errors.New("the configuration must not be sent; correct the entries that are named")

func (c *checkConfigCommand) run(ctx context.Context, e *environment) error {
	text, err := readTree(c.File)
	if err != nil {
		return err
	}
	config, findings, err := platform.CheckConfiguration([]byte(text), c.Regions)
	if err != nil {
		return errors.Join(errInvalidConfig, err)
	}
	result := configCheck{Version: config.Version, Findings: findings}
	inForce, err := c.readInForce(ctx, e)
	if err != nil {
		return err
	}
	if inForce != nil {
		result.compare(inForce, config)
	}
	if err := e.printConfigCheck(result); err != nil {
		return err
	}
	for _, f := range result.Findings {
		if c.Strict || f.Severity == route.SeverityError {
			return errInvalidConfig
		}
	}
	return nil
}

// readInForce returns the configuration in force, or nil if none was named.
func (c *checkConfigCommand) readInForce(ctx context.Context, e *environment) (*route.Config, error) {
	var text []byte
	switch {
	case c.Against != "":
		tree, err := readTree(c.Against)
		if err != nil {
			return nil, err
		}
		text = []byte(tree)
	case c.Store != "":
		ctx, cancel := context.WithTimeout(ctx, e.Timeout)
		defer cancel()
		value, err := platform.ReadConfiguration(ctx, c.Store)
		if err != nil {
			return nil, err
		}
		text = value
	default:
		return nil, nil
	}
	config, _, err := platform.CheckConfiguration(text, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decode the configuration in force")
	}
	return config, nil
}

// compare adds what a configuration changes in the one in force.
func (r *configCheck) compare(inForce, config *route.Config) {
	r.Against, r.Changes = inForce.Version, route.Diff(inForce, config)
	if config.Version <= inForce.Version {
		r.Findings = append(r.Findings, route.Finding{
			Severity: route.SeverityError, Path: "version", Remedy: "use a higher one",
			Message: fmt.Sprintf("version %d does not follow version %d in force, so that no VM would use it", config.Version, inForce.Version),
		})
	}
}

func (e *environment) printConfigCheck(r configCheck) error {
	if e.Output == "json" {
		return e.printJSON(r)
	}
	for _, f := range r.Findings {
		fmt.Fprintln(e.out, f)
	}
	fmt.Fprintf(e.out, "version %d: %d findings\n", r.Version, len(r.Findings))
	if r.Against == 0 {
		return nil
	}
	fmt.Fprintf(e.out, "%d changes against version %d\n", len(r.Changes), r.Against)
	changes := make([]operatorhttp.Change, 0, len(r.Changes))
	for _, c := range r.Changes {
		changes = append(changes, operatorhttp.Change{Path: c.Path, Key: c.Key, Old: c.Old, New: c.New})
	}
	e.printChanges(changes)
	return nil
}
