package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/internal/wait"
)

const (
	// drainMargin is added to the life time of look-up answers before a planned
	// stop closes the caller port.
	drainMargin = time.Second
	// idlePoll is the time between two looks at running tickets.
	idlePoll = 20 * time.Millisecond
	// leaveTime bounds the last messages of a planned stop.
	leaveTime = 2 * time.Second
)

// Stop ends the VM without cutting off requests in flight. It serves until
// cached look-up answers have expired, hands over its seats and its outcomes,
// and is bounded by the rule stop_timeout. The error reports what was cut.
func (v *VM) Stop(ctx context.Context) error {
	if v.stopping.Swap(true) {
		return errors.New("a planned stop is already running")
	}
	rules := v.serviceRules("", v.cfg.Region)
	v.log.Log(eventStopping, map[string]any{"stop_timeout": rules.StopTimeout.String()})
	ctx, cancel := context.WithTimeout(ctx, rules.StopTimeout)
	defer cancel()
	v.publishSelf(v.config.Current().Revision)
	v.callers.SetLeaving()
	wait.For(ctx, rules.LookupTTL+drainMargin)
	err := v.callers.Shutdown(ctx)
	v.outcomes.Seal()
	v.waitForTickets(ctx)
	if werr := v.writeOutcomes(ctx); werr != nil {
		v.log.Log(eventOutcomesLost, map[string]any{"error": werr.Error()})
	}
	// Seats that stay in use are claimed by others later; nothing is cut off.
	_ = v.seats.Release(ctx, v.seatIdle)
	v.finish()
	v.log.Log(eventStopped, map[string]any{"cut": err != nil})
	if err != nil {
		return errors.Wrap(err, "requests were still running when stop_timeout ended")
	}
	return nil
}

// waitForTickets waits until no ticket of this VM runs.
func (v *VM) waitForTickets(ctx context.Context) {
	for v.outcomes.CountRunning() > 0 && wait.For(ctx, idlePoll) {
	}
}

// finish tells the members, closes all ports and ends the background work.
func (v *VM) finish() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	_ = v.members.Leave(ctx)
	_ = v.peerServer.Close(ctx)
	v.closeAll()
}

// Kill ends the VM at once and logs the requests it cuts off.
func (v *VM) Kill() {
	v.log.Log(eventKilled, map[string]any{"requests": v.callers.InFlight()})
	v.callers.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = v.peerServer.Close(ended)
	v.closeAll()
}

func (v *VM) closeAll() {
	v.cancel()
	for _, s := range v.servers {
		_ = s.http.Close()
	}
	_ = v.peers.Close()
	v.targets.Close()
	v.work.Wait()
}
