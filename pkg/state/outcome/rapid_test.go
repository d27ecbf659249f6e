package outcome

import "flag"

// A fixed seed makes every run check the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }
