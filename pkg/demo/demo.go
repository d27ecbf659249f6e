package demo

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/caller"
	"hickoryroute/pkg/transport/checkedhttp"
	"hickoryroute/pkg/transport/operatorhttp"
)

// Config configures a demonstration.
type Config struct {
	// Requests is the number of requests to send. With 0 the system runs without
	// requests until ctx ends.
	Requests int
	// BasePort is added to 101, 201 and 301 to get the first caller, peer and
	// operator port of the VMs; 0 lets the operating system choose the ports.
	BasePort int
	Out      io.Writer
	Log      logrus.FieldLogger
}

// Result counts the requests of a demonstration.
type Result struct{ Served, Failed int }

const (
	startTimeout   = 30 * time.Second
	requestTimeout = 10 * time.Second
	workers        = 8
	// readsPerWrite is the number of reads for each write.
	readsPerWrite = 3
)

// Run runs the demonstration. It returns an error if a ticket ran more than once.
func Run(ctx context.Context, cfg Config) (Result, error) {
	var sites []*site
	defer func() {
		for _, s := range sites {
			s.close()
		}
	}()
	for _, p := range profiles {
		s, err := startSite(ctx, p, cfg.BasePort, cfg.Log)
		if err != nil {
			return Result{}, err
		}
		sites = append(sites, s)
		fmt.Fprintf(cfg.Out, "%s: %d entry VMs in %v, %d targets\n", s.user, len(s.vms), s.regions, len(s.targets))
	}
	for _, s := range sites {
		if err := s.waitUntilReady(ctx); err != nil {
			return Result{}, err
		}
		fmt.Fprintf(cfg.Out, "%s: ready\n", s.user)
	}
	if cfg.Requests == 0 {
		printExamples(cfg.Out, sites)
		<-ctx.Done()
		return Result{}, nil
	}
	return serveRequests(ctx, cfg, sites)
}

// waitUntilReady waits until each VM serves a read of each service.
func (s *site) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, vm := range s.vms {
		for _, svc := range s.services {
			url := "http://" + vm.CallerAddress() + "/v1/services/" + svc.name + svc.readPath
			for !isServed(ctx, url) {
				select {
				case <-ctx.Done():
					return errors.Errorf("%s is not ready after %s", s.user, startTimeout)
				case <-time.After(50 * time.Millisecond):
				}
			}
		}
	}
	return nil
}

// httpClient checks the responses of the VMs as hickoryroute does.
var httpClient = &http.Client{Transport: checkedhttp.NewTransport(&http.Transport{})}

func isServed(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// request is one request of the demonstration.
type request struct {
	site *site
	svc  service
	n    int
}

// serveRequests sends the requests and sets one operator override halfway.
func serveRequests(ctx context.Context, cfg Config, sites []*site) (Result, error) {
	requests := make(chan request)
	var served, failed atomic.Int64
	var wg sync.WaitGroup
	clients := map[*site]*caller.Client{}
	for _, s := range sites {
		client, err := caller.New(caller.Config{Entries: s.callerAddresses(), Timeout: requestTimeout})
		if err != nil {
			return Result{}, err
		}
		defer client.Close()
		clients[s] = client
	}
	for range workers {
		wg.Go(func() {
			for req := range requests {
				if err := sendRequest(ctx, clients[req.site], req); err != nil {
					failed.Add(1)
					fmt.Fprintf(cfg.Out, "request %d to %s failed: %v\n", req.n, req.svc.name, err)
					continue
				}
				served.Add(1)
			}
		})
	}
	err := enqueueRequests(ctx, cfg, sites, requests)
	close(requests)
	wg.Wait()
	for _, s := range sites {
		if duplicated := s.countDuplicateRuns(); duplicated > 0 {
			return Result{}, errors.Errorf("%s: %d tickets ran more than once", s.user, duplicated)
		}
	}
	return Result{Served: int(served.Load()), Failed: int(failed.Load())}, err
}

func enqueueRequests(ctx context.Context, cfg Config, sites []*site, requests chan<- request) error {
	step := max(cfg.Requests/5, 1)
	for n := range cfg.Requests {
		if n == cfg.Requests/2 {
			if err := setOverride(ctx, cfg.Out, sites[0]); err != nil {
				return err
			}
		}
		s := sites[n%len(sites)]
		select {
		case requests <- request{site: s, svc: s.services[n/len(sites)%len(s.services)], n: n}:
		case <-ctx.Done():
			return ctx.Err()
		}
		if (n+1)%step == 0 {
			fmt.Fprintf(cfg.Out, "%d of %d requests sent\n", n+1, cfg.Requests)
		}
	}
	return nil
}

func sendRequest(ctx context.Context, client *caller.Client, req request) error {
	if req.svc.writePath == "" || req.n%(readsPerWrite+1) != 0 {
		_, err := client.Do(ctx, req.svc.name, http.MethodGet, req.svc.readPath, nil)
		return err
	}
	body := fmt.Appendf(nil, `{"request":%d}`, req.n)
	_, err := client.Do(ctx, req.svc.name, http.MethodPost, req.svc.writePath, body)
	return err
}

// setOverride sets one override as an operator would and waits until it is in
// force on every VM.
func setOverride(ctx context.Context, out io.Writer, s *site) error {
	client := operatorhttp.NewClient(s.vms[0].OperatorAddress(), "", httpClient)
	path := s.regions[0] + "/" + s.services[0].name
	reply, err := client.Edit(ctx, operatorhttp.EditRequest{
		RequestID: rand.Text(), Op: operatorhttp.OpSet, Path: path,
		Rules: "hedge_percent: 2", Reason: "demonstration of an override",
	})
	if err != nil {
		return errors.Wrap(err, "set the override")
	}
	start := time.Now()
	for _, vm := range s.vms {
		if err := waitForRevision(ctx, vm.OperatorAddress(), reply.Revision); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "override at %s accepted as revision %d, in force on %d VMs after %s\n",
		path, reply.Revision, len(s.vms), time.Since(start).Round(time.Millisecond))
	return nil
}

func waitForRevision(ctx context.Context, address string, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client := operatorhttp.NewClient(address, "", httpClient)
	for {
		tree, err := client.Tree(ctx)
		if err == nil && tree.Revision >= revision {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("revision %d is not in force at %s", revision, address)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func printExamples(out io.Writer, sites []*site) {
	for _, s := range sites {
		vm, svc := s.vms[0], s.services[1]
		fmt.Fprintf(out, `
%s, entry VM with caller port %s and operator port %s. Try:
  curl 'http://%s/v1/lookup?service=%s'
  curl -i 'http://%s/v1/services/%s%s'
  TICKET=$(curl -s -X POST 'http://%s/v1/tickets?service=%s' | sed 's/.*"tickets":\["\([^"]*\)".*/\1/')
  curl -i -H "Idempotency-Key: $TICKET" -d 'body' 'http://%s/v1/services/%s%s'
  hickoryroute --address %s status
  hickoryroute --address %s explain %s/%s
`, s.user, vm.CallerAddress(), vm.OperatorAddress(),
			vm.CallerAddress(), svc.name, vm.CallerAddress(), svc.name, svc.readPath,
			vm.CallerAddress(), svc.name, vm.CallerAddress(), svc.name, svc.writePath,
			vm.OperatorAddress(), vm.OperatorAddress(), s.regions[0], svc.name)
	}
	fmt.Fprintln(out, "\nrunning until interrupted")
}
