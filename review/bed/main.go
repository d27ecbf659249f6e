// Command reviewbed plays the cases of the independent review against
// hickoryfront processes. It holds the stand-ins of a case: the store, the
// instances and the clients, all on loopback addresses.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
)

// cases holds the function that plays each case.
var cases = map[string]func(*bed){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewbed CASE FOLDER")
		os.Exit(2)
	}
	b, err := newBed(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "reviewbed:", err)
		os.Exit(2)
	}
	os.Exit(b.play(cases[os.Args[1]]))
}
