package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/internal/wait"
)

const (
	// lookupExpiryMargin is added to the lifetime of lookup responses before a
	// planned stop closes the caller port.
	lookupExpiryMargin = time.Second
	// ticketPollInterval is the time between two checks for running tickets.
	ticketPollInterval = 20 * time.Millisecond
	// leaveTimeout bounds the last messages of a planned stop.
	leaveTimeout = 2 * time.Second
)

// Stop shuts the VM down gracefully, within the limit of the rule stop_timeout.
// The VM serves until cached lookup responses have expired, completes the
// requests in flight, stores its outcomes and releases its seats. Stop returns
// an error if requests were interrupted.
func (v *VM) Stop(ctx context.Context) error {
	if v.stopping.Swap(true) {
		return errors.New("a planned stop is already running")
	}
	rules := v.serviceRules("", v.cfg.Region)
	v.log.Log(eventStopStarted, map[string]any{"stop_timeout": rules.StopTimeout.String()})
	ctx, cancel := context.WithTimeout(ctx, rules.StopTimeout)
	defer cancel()
	v.publishSelf(v.config.Current().Revision)
	v.callerServer.SetLeaving()
	wait.For(ctx, rules.LookupTTL+lookupExpiryMargin)
	err := v.callerServer.Shutdown(ctx)
	v.outcomes.Seal()
	v.waitForTickets(ctx)
	if writeErr := v.writeOutcomes(ctx); writeErr != nil {
		v.log.Log(eventOutcomesNotWritten, map[string]any{"error": writeErr.Error()})
	}
	// Other VMs take over seats that are still in use later; no request is
	// interrupted.
	_ = v.seats.Release(ctx, v.isSeatIdle)
	v.announceRelease(ctx)
	v.leaveAndClose()
	v.log.Log(eventStopFinished, map[string]any{"cut": err != nil})
	if err != nil {
		return errors.Wrap(err, "requests were still running when stop_timeout ended")
	}
	return nil
}

// waitForTickets waits until no request with a ticket of this VM is running.
func (v *VM) waitForTickets(ctx context.Context) {
	for v.outcomes.CountRunning() > 0 && wait.For(ctx, ticketPollInterval) {
	}
}

// leaveAndClose notifies the members, closes all ports and ends the background
// work.
func (v *VM) leaveAndClose() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = v.members.Leave(ctx)
	_ = v.peerServer.Close(ctx)
	v.closeAll()
}

// Kill ends the VM at once and logs the requests that it interrupts.
func (v *VM) Kill() {
	v.log.Log(eventStopForced, map[string]any{"requests": v.callerServer.InFlight()})
	v.callerServer.Close()
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = v.peerServer.Close(cancelled)
	v.closeAll()
}

func (v *VM) closeAll() {
	v.cancel()
	for _, s := range v.httpServers {
		_ = s.http.Close()
	}
	_ = v.peerClient.Close()
	v.targetClient.Close()
	v.background.Wait()
}
