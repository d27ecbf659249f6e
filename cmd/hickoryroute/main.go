// Command hickoryroute is the operator tool: it prints and edits the tree of
// settings, prints status and events, and runs a demonstration of the system.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/operatorhttp"
)

// Exit codes of the command.
const (
	exitOK         = 0
	exitFailure    = 1
	exitUsage      = 2
	exitConflict   = 3
	exitNotInForce = 4
	exitInvalid    = 5
)

// version is set by the linker in release builds.
var version = "dev"

// connectionOptions holds the options of all sub-commands.
type connectionOptions struct {
	Address string        `arg:"--address,env:HICKORY_ADDRESS" default:"127.0.0.1:7301" help:"operator address of any entry VM"`
	Token   string        `arg:"--token,env:HICKORY_TOKEN" help:"operator token"`
	CAFile  string        `arg:"--ca-file,env:HICKORY_CA_FILE" help:"CA certificate for https addresses"`
	Cert    string        `arg:"--cert-file,env:HICKORY_CERT_FILE" help:"client certificate"`
	Key     string        `arg:"--key-file,env:HICKORY_KEY_FILE" help:"key of the client certificate"`
	Timeout time.Duration `arg:"--timeout,env:HICKORY_TIMEOUT" default:"10s" help:"longest time of a call"`
	Output  string        `arg:"--output" default:"table" help:"table or json"`
}

type arguments struct {
	connectionOptions
	Show        *showCommand        `arg:"subcommand:show" help:"print the tree of settings"`
	Explain     *explainCommand     `arg:"subcommand:explain" help:"print each setting in force at a path and where it comes from"`
	Set         *setCommand         `arg:"subcommand:set" help:"set an override at a path"`
	Remove      *removeCommand      `arg:"subcommand:remove" help:"remove the override of a path"`
	Drain       *drainCommand       `arg:"subcommand:drain" help:"stop new work for a region, an availability zone, a service or a target"`
	Restore     *restoreCommand     `arg:"subcommand:restore" help:"end a drain"`
	Validate    *validateCommand    `arg:"subcommand:validate" help:"check a tree and print what it would change"`
	Diff        *diffCommand        `arg:"subcommand:diff" help:"print how a tree differs from the one in force"`
	Apply       *applyCommand       `arg:"subcommand:apply" help:"replace the whole tree"`
	History     *historyCommand     `arg:"subcommand:history" help:"print the last accepted changes"`
	RollForward *rollForwardCommand `arg:"subcommand:roll-forward" help:"accept the content of an earlier revision as a new one"`
	Watch       *watchCommand       `arg:"subcommand:watch" help:"wait until a revision is in force on all entry VMs"`
	Status      *statusCommand      `arg:"subcommand:status" help:"print regions, links, targets and members"`
	CheckConfig *checkConfigCommand `arg:"subcommand:check-config" help:"check a configuration of the users' platform before it is sent"`
	Front       *frontCommand       `arg:"subcommand:front" help:"print what hickoryfront has in force; --address is its metrics address"`
	Timeline    *timelineCommand    `arg:"subcommand:timeline" help:"print the merged events of all entry VMs"`
	Demo        *demoCommand        `arg:"subcommand:demo" help:"run the whole system in this process on loopback"`
}

// Version returns the text printed by --version.
func (arguments) Version() string { return "hickoryroute " + version }

// Description returns the first paragraph of --help.
func (arguments) Description() string {
	return "Operator tool of hickoryroute, a global traffic steering system."
}

// Epilogue returns the end of --help.
func (arguments) Epilogue() string {
	return `Examples:
  hickoryroute demo --requests 200
  hickoryroute show
  hickoryroute explain sask/cluebook
  hickoryroute set sask/cluebook 'hedge_percent: 0' --reason "hedges overload cb-03" --expires 2h
  hickoryroute drain sask/cluebook/cb-03 --reason "disk swap"
  hickoryroute show > tree.yaml
  hickoryroute diff tree.yaml
  hickoryroute apply tree.yaml --reason "add hcm"
  hickoryroute watch 18

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 another operator's edit came first,
4 not in force everywhere in time, 5 the tree or the configuration is invalid.`
}

// command is implemented by each sub-command.
type command interface {
	run(ctx context.Context, e *environment) error
}

// environment holds the options, clients and output streams that all
// sub-commands use.
type environment struct {
	connectionOptions
	client *operatorhttp.Client
	http   *http.Client
	out    io.Writer
	errOut io.Writer
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errOut io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "hickoryroute"}, &a)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		if names := parser.SubcommandNames(); len(names) > 0 {
			fmt.Fprintf(out, "\nExample of %s:\n%s", names[0], examples[names[0]])
		}
		return exitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, a.Version())
		return exitOK
	case err != nil:
		fmt.Fprintln(errOut, err)
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		return exitUsage
	}
	cmd, ok := parser.Subcommand().(command)
	if !ok || (a.Output != "table" && a.Output != "json") {
		fmt.Fprintln(errOut, "name a sub-command, and table or json for --output; see hickoryroute --help")
		return exitUsage
	}
	httpClient, err := newHTTPClient(a.connectionOptions)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	e := &environment{
		connectionOptions: a.connectionOptions,
		client:            operatorhttp.NewClient(a.Address, a.Token, httpClient),
		http:              httpClient,
		out:               out,
		errOut:            errOut,
	}
	if err := cmd.run(ctx, e); err != nil {
		fmt.Fprintln(errOut, "hickoryroute:", err)
		return exitCode(err)
	}
	return exitOK
}

// errNotInForce is returned by watch when the revision isn't in force on all
// VMs in time.
var errNotInForce = errors.New("the revision is not in force everywhere; see the VMs above and run watch again")

func exitCode(err error) int {
	if errors.Is(err, errNotInForce) {
		return exitNotInForce
	}
	if errors.Is(err, errInvalidConfig) {
		return exitInvalid
	}
	var p *protocol.Problem
	if !errors.As(err, &p) {
		return exitFailure
	}
	switch p.Code {
	case protocol.CodeConflict:
		return exitConflict
	case protocol.CodeInvalidSettings:
		return exitInvalid
	case protocol.CodeBadRequest:
		return exitUsage
	default:
		return exitFailure
	}
}
