// Command bed-2 plays the scripts of the second review: it starts hickoryfront
// processes with the command of the deploy file and plays the store, the instances,
// the clients and the operator around them.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// script plays one case and reports whether its rule was broken.
type script func(b *bed) (broken bool, err error)

// scripts holds the scripts by name. Each file of a case adds its own.
var scripts = map[string]script{}

func main() {
	name := flag.String("case", "", "name of the script")
	out := flag.String("out", "", "folder of the case, in which record.txt is written")
	binary := flag.String("front", "target/hickoryfront", "program of an entry VM")
	flag.Parse()
	os.Exit(run(*name, *out, *binary))
}

func run(name, out, binary string) int {
	play := scripts[name]
	if play == nil || out == "" {
		names := make([]string, 0, len(scripts))
		for n := range scripts {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "bed-2: -out and -case are needed; cases:", strings.Join(names, ", "))
		return exitNotRun
	}
	b, err := newBed(out, binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bed-2:", err)
		return exitNotRun
	}
	defer b.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		b.close()
		os.Exit(exitNotRun)
	}()
	b.record("case %s, trouble %t", name, b.trouble)
	broken, err := play(b)
	switch {
	case err != nil:
		b.record("NOT RUN: %v", err)
		return exitNotRun
	case broken:
		b.record("RULE BROKEN")
		return exitBroken
	}
	b.record("rule held")
	return exitHeld
}

// waitFor polls a condition.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
