// Package scenario runs scripted tests of the stand-ins, the entry VMs and the
// operator tool, each as a process of its own.
package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"hickoryroute/internal/testproc"
)

// binaryDir is the directory of the programs under test.
var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hickoryroute-scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaryDir = dir
	if err := testproc.Build(dir, "hickoryroute/cmd/..."); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// Guards the guarantees of the system against kills, pauses and platform outages.
// Each script describes the failure that it injects.
func TestScripts(t *testing.T) { runScripts(t, "testdata/scripts") }

// Guards against requests that keep going to a target that never responds. It is
// a test of its own because KNOWN-RED.txt lists whole tests.
func TestUnresponsiveTargetUnderLoad(t *testing.T) { runScripts(t, "testdata/silent") }

// Guards against a ticket whose request runs twice after its issuer was killed.
// It is a test of its own because KNOWN-RED.txt lists whole tests.
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
