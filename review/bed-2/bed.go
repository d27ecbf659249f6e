package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hickoryroute/internal/testnet"
	"hickoryroute/platform/standin"
)

// Bounds of a small deployment, as the pages give them for lantern-hunt.
const (
	stableWindow = 3 * time.Second
	drainTime    = 2500 * time.Millisecond
	gracePeriod  = 6 * time.Second
	heartbeat    = 1500 * time.Millisecond
	restartDelay = 300 * time.Millisecond
)

// zoneRegions are the zones of the deployment with their regions.
var zoneRegions = []struct{ zone, region string }{
	{"sask-yxe", "sask"}, {"mb-ywg", "manitoba"}, {"ab-yeg", "alberta"},
	{"sask-yqr", "sask"}, {"mb-ybr", "manitoba"}, {"ab-yyc", "alberta"},
}

// bed is one deployment on loopback addresses.
type bed struct {
	trouble bool
	binary  string
	dir     string // temporary folder
	began   time.Time

	mu     sync.Mutex
	out    *bufio.Writer
	file   *os.File
	closed bool

	store        *standin.Store
	storeServer  *http.Server
	storeAddress string
	vms          []*vm
	ids          int
}

func newBed(out, binary string) (*bed, error) {
	file, err := os.Create(filepath.Join(out, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-bed-2-")
	if err != nil {
		return nil, err
	}
	b := &bed{
		trouble: os.Getenv("TROUBLE") != "0", binary: binary, dir: dir, began: time.Now(),
		file: file, out: bufio.NewWriter(file), store: standin.NewStore(),
	}
	listener, err := net.Listen("tcp", testnet.LoopbackIP()+":0")
	if err != nil {
		return nil, err
	}
	b.storeAddress = listener.Addr().String()
	b.storeServer = &http.Server{Handler: b.store.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = b.storeServer.Serve(listener) }()
	return b, nil
}

// record writes a line with the time since the start of the script.
func (b *bed) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = b.out.WriteString(line)
	_ = b.out.Flush()
}

// close ends all processes and removes the temporary folder.
func (b *bed) close() {
	for _, v := range b.vms {
		v.kill()
	}
	_ = b.storeServer.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.closed = true
		_ = b.out.Flush()
		_ = b.file.Close()
		_ = os.RemoveAll(b.dir)
	}
}

// newID returns the id of a client attempt.
func (b *bed) newID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ids++
	return fmt.Sprintf("%04x%08x", os.Getpid()&0xffff, b.ids)
}

// vm is a hickoryfront process that is restarted at the same addresses.
type vm struct {
	bed                                  *bed
	name, zone, region                   string
	callerAddress, readyAddress, dirAddr string
	settings                             string
	extraBounds                          string

	mu        sync.Mutex
	command   *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
	termedAt  time.Time // zero unless the running process got SIGTERM
}

// addVMs starts a number of VMs, one in each zone in turn, and waits until they are
// ready.
func (b *bed) addVMs(count int, extraBounds string) error {
	for i := range count {
		place := zoneRegions[i%len(zoneRegions)]
		ip := testnet.LoopbackIP()
		v := &vm{
			bed: b, name: fmt.Sprintf("front-%s-%d", place.zone, 1+i/len(zoneRegions)), zone: place.zone, region: place.region,
			callerAddress: ip + ":8548", readyAddress: ip + ":8542", dirAddr: ip + ":8546",
		}
		v.extraBounds = extraBounds
		v.settings = filepath.Join(b.dir, v.name+".conf")
		b.vms = append(b.vms, v)
		if err := v.start(true); err != nil {
			return err
		}
	}
	for _, v := range b.vms {
		if !waitFor(8*time.Second, v.ready) {
			return fmt.Errorf("%s did not become ready", v.name)
		}
	}
	return nil
}

func (v *vm) writeSettings(first bool) error {
	var zones strings.Builder
	for _, place := range zoneRegions {
		fmt.Fprintf(&zones, "zones.%s=%s\n", place.zone, place.region)
	}
	ip, _, _ := net.SplitHostPort(v.callerAddress)
	text := fmt.Sprintf(`node_name=%s
role=entry
machine_class=front
serves=front,directory
ip=%s
zone=%s
region=%s
%slisten.front=%s
listen.ready=%s
listen.directory=%s
internal_ports=7540,7555
first_start=%t
limits.cpu_share=0.32
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
heartbeat_interval_ms=1500
tolerate.machines=2
tolerate.zones=1
tolerate.regions=1
bounds=seed_lag_s=3,reuse_after_s=2,stable_window_ms=3000,ack_ms=4000,catch_up_s=4,drain_ms=2500,grace_s=6,loss_slack_ms=200,config_apply_ms=2500,rollback_slack_ms=250,max_stretch_ms=5000,retry_budget_ratio=0.2,retry_window_s=10,retry_slack=64,cold_multiplier=1.5,cold_slack=5,evacuation_ms=5000,recovery_s=15,ttl_max_s=5,max_shift=0.15%s
platform.address=%s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.min_ttl_ms=1000
`, v.name, ip, v.zone, v.region, zones.String(), v.callerAddress, v.readyAddress, v.dirAddr, first, v.extraBounds, v.bed.storeAddress)
	return os.WriteFile(v.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (v *vm) start(first bool) error {
	if err := v.writeSettings(first); err != nil {
		return err
	}
	log, err := os.OpenFile(v.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.mu.Lock()
	defer v.mu.Unlock()
	command := exec.Command(v.bed.binary)
	command.Env = append(os.Environ(), "HICKORYROUTE_NODE_FILE="+v.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.command, v.exited, v.startedAt, v.termedAt = command, exited, time.Now(), time.Time{}
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.command == nil {
		return
	}
	if s == syscall.SIGTERM {
		v.termedAt = time.Now()
	}
	_ = v.command.Process.Signal(s)
}

func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.awaitExit()
}

func (v *vm) awaitExit() {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// restartGracefully stops the process as the platform does and starts it again.
func (v *vm) restartGracefully() error {
	v.bed.record("%s: SIGTERM", v.name)
	v.signal(syscall.SIGTERM)
	timer := time.AfterFunc(gracePeriod, func() { v.signal(syscall.SIGKILL) })
	v.awaitExit()
	timer.Stop()
	time.Sleep(restartDelay)
	v.bed.record("%s: started again", v.name)
	if err := v.start(false); err != nil {
		return err
	}
	if !waitFor(8*time.Second, v.ready) {
		return fmt.Errorf("%s did not become ready again", v.name)
	}
	return nil
}

// calmFor reports whether the process has run without a start or a signal for the
// stable window before a time.
func (v *vm) calmFor(at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.termedAt.IsZero() && at.Sub(v.startedAt) >= stableWindow
}

// ready asks the process whether it should get requests.
func (v *vm) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.readyAddress+"/api/ready", nil)
	if err != nil {
		return false
	}
	resp, err := freshClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freshClient opens a connection for each call.
var freshClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// configuration encodes a configuration as the operator writes it.
func configuration(version int, routes []routeRow, services []string) string {
	rows := make([]any, 0, len(routes))
	for i, r := range routes {
		rows = append(rows, []any{fmt.Sprintf("r-%d", i), r.host, r.prefix, r.kind, r.timeoutMs, r.goalMs, r.priority, nil, 2, true, []string{}, r.service})
	}
	serviceRows := make([]any, 0, len(services))
	for _, name := range services {
		serviceRows = append(serviceRows, []any{name, "/health", 390, "h1", false, 3.0, 5.4})
	}
	text, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "target_latency_ms", "priority", "traffic_split", "max_attempts", "sticky", "home_regions", "service"},
			"rows":    rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_conns", "protocol", "tls", "cold_start_s", "cold_per_s"},
			"rows":    serviceRows,
		},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // the maps above can always be encoded
	}
	return string(text)
}

// routeRow is one route of a configuration.
type routeRow struct {
	host, prefix, kind, service string
	timeoutMs, goalMs, priority int
}
