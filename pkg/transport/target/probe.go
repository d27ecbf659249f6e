package target

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hickoryroute/pkg/protocol"
)

const (
	maxProbeBodyBytes = 16 << 10
	maxReportedCount  = 1 << 20 // reports with larger counts are invalid
)

// ErrLoadReport marks load reports that cannot be used.
var ErrLoadReport = errors.New("load report is not usable; check the /load endpoint of the target")

// LoadReport is the load that a target reports.
type LoadReport struct {
	InFlight    int  `json:"in_flight"`
	Slots       int  `json:"slots"`
	QueueLength int  `json:"queue"`
	Draining    bool `json:"draining"`
}

// Health is the result of a health probe.
type Health struct {
	Healthy  bool
	Draining bool
	Status   int
	Latency  time.Duration
}

// ParseLoadReport decodes the body of GET /load.
func ParseLoadReport(body []byte) (LoadReport, error) {
	var r LoadReport
	if err := json.Unmarshal(body, &r); err != nil {
		return LoadReport{}, fmt.Errorf("%w: %w", ErrLoadReport, err)
	}
	for _, n := range []int{r.InFlight, r.Slots, r.QueueLength} {
		if n < 0 || n > maxReportedCount {
			return LoadReport{}, fmt.Errorf("%w: count %d is out of range", ErrLoadReport, n)
		}
	}
	return r, nil
}

// Prober queries the health and load of targets.
type Prober struct {
	Client      *Client
	LocalRegion string
	Timeout     time.Duration // of one probe; zero means only the deadline of the context
}

// Health requests GET /healthz. An error means that no usable response arrived.
func (p *Prober) Health(ctx context.Context, t protocol.TargetRef) (Health, error) {
	start := time.Now()
	resp, body, err := p.get(ctx, t, "/healthz")
	var f *Failure
	if errors.As(err, &f) && f.Kind == KindRefused {
		return Health{Status: f.Status, Draining: f.Draining, Latency: time.Since(start)}, nil
	}
	if err != nil {
		return Health{}, err
	}
	h := Health{Status: resp.Status, Draining: resp.Draining, Latency: time.Since(start)}
	h.Healthy = resp.Status >= 200 && resp.Status <= 299
	var report struct {
		State string `json:"state"`
	}
	if json.Unmarshal(body, &report) == nil {
		h.Draining = h.Draining || report.State == "draining"
		h.Healthy = h.Healthy && report.State != "starting"
	}
	return h, nil
}

// Load requests GET /load.
func (p *Prober) Load(ctx context.Context, t protocol.TargetRef) (LoadReport, error) {
	resp, body, err := p.get(ctx, t, "/load")
	if err != nil {
		return LoadReport{}, err
	}
	if resp.Status != http.StatusOK {
		return LoadReport{}, fmt.Errorf("%w: status %d", ErrLoadReport, resp.Status)
	}
	report, err := ParseLoadReport(body)
	report.Draining = report.Draining || resp.Draining
	return report, err
}

func (p *Prober) get(ctx context.Context, t protocol.TargetRef, path string) (*Response, []byte, error) {
	req := &Request{
		Target: t, LocalRegion: p.LocalRegion, Method: http.MethodGet, Path: path, Idempotent: true,
		RequestID: rand.Text(), // tells a late response to another request from that to the probe
	}
	if p.Timeout > 0 {
		req.Deadline = time.Now().Add(p.Timeout)
	}
	resp, err := p.Client.Do(ctx, req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeBodyBytes+1))
	if err != nil {
		return nil, nil, err
	}
	if len(body) > maxProbeBodyBytes {
		return nil, nil, fmt.Errorf("%w: body exceeds %d bytes", ErrLoadReport, maxProbeBodyBytes)
	}
	return resp, body, nil
}
