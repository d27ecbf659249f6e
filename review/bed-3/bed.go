// Command bed-3 plays the script cases of the third review: it starts entry VMs with
// the command of the deploy file, plays the platform, the instances and the callers
// around them on loopback addresses, and judges one rule.
package main

import (
	"context"
	"flag"
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

// Exit codes of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// Ports of every VM. Each VM has its own IP address.
const (
	callerPort, readyPort, lookupPort = 7300, 7301, 7302
	peerPort, metricsPort             = 7310, 7311
)

// bed is the system under test with what is around it.
type bed struct {
	record  *recorder
	trouble bool
	dir     string
	binary  string
	store   *standin.Store
	address string // of the store
	bounds  string
	regions map[string]string
	vms     []*vm
}

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// vm is one entry VM.
type vm struct {
	name, ip, zone, settings string
	command                  *exec.Cmd
	exited                   chan struct{}
	log                      *os.File
}

func (v *vm) callerAddress() string { return fmt.Sprintf("%s:%d", v.ip, callerPort) }
func (v *vm) readyURL() string      { return fmt.Sprintf("http://%s:%d/api/ready", v.ip, readyPort) }

// newBed returns a bed whose store listens, without VMs. wrap may change the handler of
// the store; nil leaves it.
func newBed(record *recorder, dir string, wrap func(http.Handler) http.Handler) (*bed, error) {
	b := &bed{record: record, dir: dir, store: standin.NewStore(), trouble: os.Getenv("TROUBLE") != "0"}
	binary, err := filepath.Abs("target/hickoryfront")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	b.binary = binary
	handler := b.store.Handler()
	if wrap != nil {
		handler = wrap(handler)
	}
	listener, err := net.Listen("tcp", testnet.LoopbackIP()+":0")
	if err != nil {
		return nil, err
	}
	b.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, handler) }()
	return b, nil
}

// addVM writes the settings of a VM and starts it.
func (b *bed) addVM(zone string) (*vm, error) {
	v := &vm{name: fmt.Sprintf("front-%s-%d", zone, len(b.vms)+1), ip: testnet.LoopbackIP(), zone: zone}
	var text strings.Builder
	fmt.Fprintf(&text, "node_name=%s\nrole=entry\nmachine_class=front\nserves=front,directory\nip=%s\nzone=%s\nregion=%s\n", v.name, v.ip, zone, b.regions[zone])
	for z, r := range b.regions {
		fmt.Fprintf(&text, "zones.%s=%s\n", z, r)
	}
	fmt.Fprintf(&text, "listen.front=%s:%d\nlisten.ready=%s:%d\nlisten.directory=%s:%d\ninternal_ports=%d,%d\n", v.ip, callerPort, v.ip, readyPort, v.ip, lookupPort, peerPort, metricsPort)
	fmt.Fprintf(&text, "first_start=false\nlimits.cpu_share=0.32\nlimits.cores=1\nlimits.memory_mb=284\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\ndiscovery=platform\nentry=directory\nheartbeat_interval_ms=1500\ncontracts=base,drain,config,cost,retry,recover,places,platform\n")
	fmt.Fprintf(&text, "bounds=%s\nplatform.address=%s\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n", b.bounds, b.address)
	v.settings = filepath.Join(b.dir, v.name+".conf")
	if err := os.WriteFile(v.settings, []byte(text.String()), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(b.dir, v.name+".log"))
	if err != nil {
		return nil, err
	}
	v.log = log
	b.vms = append(b.vms, v)
	return v, b.start(v)
}

// start starts the process of a VM, which must not be running.
func (b *bed) start(v *vm) error {
	v.command = exec.Command(b.binary)
	v.command.Env = []string{"HICKORYROUTE_NODE_FILE=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + b.dir}
	v.command.Stdout, v.command.Stderr = v.log, v.log
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.exited = exited
	command := v.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// awaitReady waits until all VMs are ready.
func (b *bed) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, v := range b.vms {
		for {
			reply, err := client.Get(v.readyURL())
			if err == nil {
				_ = reply.Body.Close()
				if reply.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stopAll kills all processes.
func (b *bed) stopAll() {
	for _, v := range b.vms {
		if v.command != nil && v.command.Process != nil {
			_ = v.command.Process.Signal(syscall.SIGCONT)
			_ = v.command.Process.Kill()
			<-v.exited
		}
	}
}

func main() {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	cases := map[string]func(context.Context, *recorder, string) (int, error){
		"first-era": firstEra, "old-key": oldKey, "left-again": leftAgain, "lost-quarantine": lostQuarantine,
	}
	play := cases[*name]
	if play == nil {
		fmt.Println("no such case")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(*recordPath)
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	record := &recorder{file: file, began: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	code, err := play(ctx, record, dir)
	cancel()
	if err != nil {
		record.say("the case could not run: %v", err)
		code = exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	_ = file.Close()
	os.Exit(code)
}
