package entry

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"hickoryroute/pkg/coordination/seat"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/packed"
)

// tableSyncInterval is the time between two comparisons of seat tables with a
// random member.
const tableSyncInterval = 5 * time.Second

// peerCallTimeout bounds a call for settings or seat tables.
const peerCallTimeout = 2 * time.Second

// peerHandler implements peer.Handler.
type peerHandler struct{ vm *VM }

// Exchange implements peer.Handler.
func (h peerHandler) Exchange(ctx context.Context, req *protocol.ExchangeRequest, reply *protocol.ExchangeReply) error {
	return h.vm.members.HandleExchange(ctx, req, reply)
}

// Notify implements peer.Handler.
func (h peerHandler) Notify(ctx context.Context, req *protocol.NotifyRequest, reply *protocol.NotifyReply) error {
	return h.vm.members.HandleNotify(ctx, req, reply)
}

// Reserve implements peer.Handler.
func (h peerHandler) Reserve(ctx context.Context, req *protocol.ReserveRequest, reply *protocol.ReserveReply) error {
	*reply = h.vm.slotOwner.Reserve(ctx, req)
	reply.Revision = h.vm.config.Current().Revision
	return nil
}

// Release implements peer.Handler.
func (h peerHandler) Release(_ context.Context, req *protocol.ReleaseRequest, reply *protocol.ReleaseReply) error {
	*reply = h.vm.slotOwner.Release(req)
	return nil
}

// Execute implements peer.Handler.
func (h peerHandler) Execute(ctx context.Context, req *protocol.ExecuteRequest, reply *protocol.ExecuteReply) error {
	*reply = h.vm.executeForPeer(ctx, req)
	return nil
}

// Borrow implements peer.Handler.
func (h peerHandler) Borrow(_ context.Context, req *protocol.BorrowRequest, reply *protocol.BorrowReply) error {
	*reply = h.vm.links.Lend(req)
	return nil
}

// Settings implements peer.Handler.
func (h peerHandler) Settings(_ context.Context, req *protocol.SettingsRequest, reply *protocol.SettingsReply) error {
	h.vm.clock.Observe(req.Time)
	*reply = h.vm.config.AnswerPeer(req.Have, req.Rejected)
	reply.Document = h.vm.packedSettings.Get(reply.Document)
	reply.Time = h.vm.clock.Now()
	var newer []seat.Table
	for _, t := range h.vm.seats.Tables() {
		if t.Revision > req.Tables[t.Region] {
			newer = append(newer, t)
		}
	}
	if len(newer) == 0 {
		return nil
	}
	tables, err := json.Marshal(newer)
	reply.Tables = tables
	return err
}

// configPeers implements config.Peers.
type configPeers struct{ vm *VM }

// FetchSettings implements config.Peers. It also merges newer seat tables.
func (p configPeers) FetchSettings(ctx context.Context, address string, have, rejected int64) (protocol.SettingsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	req := &protocol.SettingsRequest{Have: have, Rejected: rejected, Tables: map[string]int64{}, Time: p.vm.clock.Now()}
	for _, t := range p.vm.seats.Tables() {
		req.Tables[t.Region] = t.Revision
	}
	var reply protocol.SettingsReply
	if err := p.vm.peerClient.Call(ctx, address, protocol.MethodSettings, req, &reply); err != nil {
		return reply, err
	}
	p.vm.clock.Observe(reply.Time)
	p.vm.mergeSeatTables(reply.Tables)
	document, err := packed.Decompress(reply.Document)
	reply.Document = document
	return reply, err
}

// Random implements config.Peers.
func (p configPeers) Random(n int) []string {
	var addresses []string
	for _, m := range p.vm.members.Random(n) {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses
}

// All implements config.Peers.
func (p configPeers) All() []string { return p.vm.peerAddresses() }

// Announce implements config.Peers.
func (p configPeers) Announce(revision int64) { p.vm.announceRevision(revision) }

func (v *VM) mergeSeatTables(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	var tables []seat.Table
	if err := json.Unmarshal(encoded, &tables); err != nil {
		v.log.Log(eventSeatTablesUnreadable, map[string]any{"error": err.Error()})
		return
	}
	v.seats.Merge(tables)
}

// peerAddresses returns the addresses of the alive members and those given at
// start, without this VM's own.
func (v *VM) peerAddresses() []string {
	listed := map[string]bool{v.cfg.PeerAddress: true}
	var list []string
	add := func(address string) {
		if !listed[address] {
			listed[address] = true
			list = append(list, address)
		}
	}
	for _, m := range v.members.Alive() {
		add(m.PeerAddress)
	}
	for _, address := range v.cfg.Peers {
		add(address)
	}
	return list
}

// syncSeatTables periodically fetches newer seat tables from a random member,
// so that they also spread while the platform is down.
func (v *VM) syncSeatTables(ctx context.Context) {
	ticker := time.NewTicker(tableSyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, m := range v.members.Random(1) {
			// The highest possible revisions exclude the settings from the
			// reply. config.Manager fetches those itself.
			_, _ = configPeers{v}.FetchSettings(ctx, m.PeerAddress, math.MaxInt64, math.MaxInt64)
		}
	}
}
