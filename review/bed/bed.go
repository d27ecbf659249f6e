package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hickoryroute/platform/standin"
)

// Bounds of the settings, as in the example of DEPLOY.md.
const bounds = "seed_lag_s=3,reuse_after_s=2,stable_window_ms=3000,ack_ms=4000,catch_up_s=4,drain_ms=2500,grace_s=6,loss_slack_ms=200,config_apply_ms=2500,rollback_slack_ms=250,max_stretch_ms=5000,retry_budget_ratio=0.2,retry_window_s=10,retry_slack=64,cold_multiplier=1.5,cold_slack=5,evacuation_ms=5000,recovery_s=15,ttl_max_s=5,max_shift=0.15"

// cannotRun is the panic value that ends a case with exit status 2.
type cannotRun string

// bed holds the stand-ins and processes of one case.
type bed struct {
	trouble bool
	folder  string
	temp    string
	store   *standin.Store
	address string // of the store
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	closers []func()
	hosts   int
	ids     atomic.Int64
	broken  []string
	unfit   []string // why the case did not show what it is for
}

func newBed(folder string) (*bed, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &bed{trouble: os.Getenv("TROUBLE") != "0", folder: folder, temp: temp, record: record, began: time.Now()}, nil
}

// play runs a case and returns the exit status.
func (b *bed) play(run func(*bed)) (status int) {
	defer func() {
		if p := recover(); p != nil {
			b.log("the case could not run: %v", p)
			status = 2
		}
		b.close()
		b.log("exit status %d", status)
		_ = b.record.Close()
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		b.close()
		os.Exit(2)
	}()
	b.log("trouble: %v", b.trouble)
	b.startStore()
	run(b)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.broken) > 0 {
		return 1
	}
	if len(b.unfit) > 0 {
		return 2
	}
	return 0
}

// close ends all processes and stand-ins of the case.
func (b *bed) close() {
	b.mu.Lock()
	closers := b.closers
	b.closers = nil
	b.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	_ = os.RemoveAll(b.temp)
}

// log writes one line to the record.
func (b *bed) log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (b *bed) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.log("BROKEN %s", text)
	fmt.Println("BROKEN", text)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, text)
}

// cannot records that a part of the case could not run. The exit status is then 2
// unless the rule was broken.
func (b *bed) cannot(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.log("CANNOT RUN %s", text)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unfit = append(b.unfit, text)
}

func (b *bed) onClose(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closers = append(b.closers, f)
}

func (b *bed) newID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), b.ids.Add(1)) }

// newIP returns a loopback address that nothing else in this case uses.
func (b *bed) newIP() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts++
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250, b.hosts)
}

func (b *bed) startStore() {
	b.store = standin.NewStore()
	b.store.SetLimit(standin.Limit{Reads: 2000, Writes: 400})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	b.address = listener.Addr().String()
	server := &http.Server{Handler: b.store.Handler()}
	go func() { _ = server.Serve(listener) }()
	b.onClose(func() { _ = server.Close() })
}

// routeRow is one route of the configuration.
type routeRow struct {
	name, prefix, kind, service string
	timeoutMs, goalMs, priority int
	sticky                      bool
}

const callerHost = "hunt.example"

// publish writes a configuration, as the operator does.
func (b *bed) publish(version int, coldPerSecond float64, routes ...routeRow) {
	rows, services, serviceRows := []any{}, map[string]bool{}, []any{}
	for _, r := range routes {
		rows = append(rows, []any{r.name, callerHost, r.prefix, r.kind, r.timeoutMs, r.goalMs, r.priority, nil, 2, r.sticky, []string{}, r.service})
		if !services[r.service] {
			services[r.service] = true
			serviceRows = append(serviceRows, []any{r.service, "/health", 390, "h1", false, 3.0, coldPerSecond})
		}
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
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	b.store.Put("op/config", string(text))
	b.log("operator: configuration r%d acknowledged", version)
}

// front is one entry VM. A restart keeps its addresses.
type front struct {
	bed           *bed
	name, zone    string
	caller, ready string
	lookup        string
	settings      string
	command       *exec.Cmd
	exited        chan struct{}
	output        *os.File
	exitedAt      time.Time
}

// newFront writes the settings of an entry VM; zones are "za" and "zb" of the
// region "sask".
func (b *bed) newFront(name, zone string) *front {
	ip := b.newIP()
	f := &front{bed: b, name: name, zone: zone, caller: ip + ":8548", ready: ip + ":8542", lookup: ip + ":8546"}
	text := strings.Join([]string{
		"node_name=" + name, "role=entry", "machine_class=front", "serves=front,directory", "ip=" + ip,
		"zone=" + zone, "region=sask", "zones.za=sask", "zones.zb=sask",
		"listen.front=" + f.caller, "listen.ready=" + f.ready, "listen.directory=" + f.lookup,
		"internal_ports=7540,7555", "seeds=", "first_start=true", "counts_toward_loss=false",
		"limits.cpu_share=0.32", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=directory",
		"heartbeat_interval_ms=1500", "contracts=base,drain,config,cost,retry,recover,places,platform",
		"tolerate.machines=2", "tolerate.zones=1", "tolerate.regions=1", "bounds=" + bounds,
		"platform.address=" + b.address, "platform.form=kv", "platform.writes_per_s=400",
		"platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000", "",
	}, "\n")
	f.settings = filepath.Join(b.temp, name+".conf")
	if err := os.WriteFile(f.settings, []byte(text), 0o600); err != nil {
		panic(cannotRun(err.Error()))
	}
	return f
}

// start starts the process with the command of the deploy file.
func (f *front) start() {
	output, err := os.OpenFile(filepath.Join(f.bed.temp, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	command := exec.Command("target/hickoryfront")
	command.Env = []string{"HICKORYROUTE_NODE_FILE=" + f.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		panic(cannotRun(err.Error()))
	}
	exited := make(chan struct{})
	f.command, f.exited, f.output = command, exited, output
	f.bed.log("%s: started, process %d", f.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		f.exitedAt = time.Now()
		f.bed.log("%s: process %d ended: %v", f.name, command.Process.Pid, err)
		_ = output.Close()
		close(exited)
	}()
	f.bed.onClose(func() {
		_ = command.Process.Kill()
		<-exited
	})
}

// signal sends a signal to the process.
func (f *front) signal(s syscall.Signal) {
	f.bed.log("%s: gets %v", f.name, s)
	_ = f.command.Process.Signal(s)
}

// awaitReady waits until the process says that it is ready.
func (f *front) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if standin.Ready(f.ready) {
			f.bed.log("%s: ready", f.name)
			return
		}
	}
	panic(cannotRun(f.name + " does not become ready"))
}
