// Package scenario holds scripted tests over real processes: the stand-ins,
// entry VMs and the operator tool, each started as its own process.
package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"hickoryroute/internal/testproc"
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hickoryroute-scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	if err := testproc.Build(dir, "hickoryroute/cmd/..."); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// Guards the promises of the system against kills, freezes and platform
// outages; each script names the failure it injects.
func TestScripts(t *testing.T) { runScripts(t, "testdata/scripts") }

// Guards against requests that stay on a target that never answers. It stands
// alone because KNOWN-RED.txt names whole tests.
func TestSilentTargetUnderLoad(t *testing.T) { runScripts(t, "testdata/silent") }

// Guards against a ticket that runs twice after its issuer was killed. It
// stands alone because KNOWN-RED.txt names whole tests.
func TestTicketIssuerKilled(t *testing.T) { runScripts(t, "testdata/issuer") }

func runScripts(t *testing.T, dir string) {
	t.Helper()
	testproc.TrackSources(t, filepath.Join("..", ".."))
	testscript.Run(t, testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":      cmdFleet,
			"bare":       cmdBare,
			"vm":         cmdVM,
			"signal":     cmdSignal,
			"await":      cmdAwait,
			"request":    cmdRequest,
			"eventually": cmdEventually,
			"background": cmdBackground,
			"join":       cmdJoin,
			"ticket":     cmdTicket,
			"runs":       cmdRuns,
			"platform":   cmdPlatform,
			"target":     cmdTarget,
			"putsetting": cmdPutSetting,
			"sleep":      cmdSleep,
			"revision":   cmdRevision,
			"writetree":  cmdWriteTree,
			"countruns":  cmdCountRuns,
			"same":       cmdSame,
			"load":       cmdLoad,
			"crashes":    cmdCrashes,
			"leavevm":    cmdLeaveVM,
			"page":       cmdPage,
			"pagetree":   cmdPageTree,
			"storm":      cmdStorm,
			"progress":   cmdProgress,
			"calm":       cmdCalm,
			"answered":   cmdAnswered,
			"gets":       cmdGets,
			"quiet":      cmdQuiet,
			"sheds":      cmdSheds,
		},
	})
}
