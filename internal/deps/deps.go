//go:build deps

// Package deps keeps the declared libraries in go.mod until all are imported.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/alexflint/go-arg"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/gaissmai/bart"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/goccy/go-yaml"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "pgregory.net/rapid"
)
