package config

import (
	"bytes"
	"context"
	"regexp"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/internal/wait"
	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/transport/platform"
)

// Limits of a proposal.
const (
	maxAuthorBytes = 128
	maxReasonBytes = 512
	// proposeTimeout ends a proposal whose outcome the platform does not tell.
	proposeTimeout = 10 * time.Second
	// resolvePause separates attempts to learn the outcome of a write.
	resolvePause = 200 * time.Millisecond
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// Edit is a change of the settings.
type Edit struct {
	Author string
	Reason string
	// RequestID identifies the change. A change that is repeated with the same
	// id is accepted at most once.
	RequestID string
	// Base is the revision that the author has seen; 0 accepts any.
	BaseRevision int64
	// AdoptUnattributed makes the author answer for all unattributed settings.
	AdoptUnattributed bool
	// Mutate returns the changed tree. It gets a copy that it may change.
	Mutate func(*settings.Tree) (*settings.Tree, error)
}

// proposal is an Edit on the way to the platform.
type proposal struct {
	Edit
	head    platform.Entry // zero if there is none yet
	base    *Snapshot      // settings that the change is made on
	value   []byte         // encoded document
	changes []settings.Change
	lost    bool               // a write of the head may have taken effect
	sent    eventlog.Timestamp // when the first write of the head was sent
}

// Propose has a change accepted and returns its revision. It returns *ConflictError
// if another change came first, *PlatformError if the platform cannot be
// asked, and *UnresolvedError if it did not tell whether the change was
// accepted.
func (m *Manager) Propose(ctx context.Context, edit Edit) (int64, error) {
	if err := edit.check(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	p := &proposal{Edit: edit}
	if revision, err := m.prepare(ctx, p); err != nil || revision != 0 {
		return revision, err
	}
	if err := m.writeText(ctx, p); err != nil {
		return 0, err
	}
	return m.writeHead(ctx, p)
}

func (e *Edit) check() error {
	switch {
	case strings.TrimSpace(e.Author) == "" || len(e.Author) > maxAuthorBytes:
		return &EditError{"change has no author or one that is too long", "name the person who makes it"}
	case strings.TrimSpace(e.Reason) == "" || len(e.Reason) > maxReasonBytes:
		return &EditError{"change has no reason or one that is too long", "say in a sentence why it is made"}
	case !requestIDPattern.MatchString(e.RequestID):
		return &EditError{"request id is not valid", "use 1 to 128 letters, digits, dots, underscores and hyphens"}
	case e.Mutate == nil:
		return &EditError{"change does nothing", "set Mutate"}
	}
	return nil
}

// prepare reads the head, and makes and checks the new document. It returns a
// revision if the change needs no write.
func (m *Manager) prepare(ctx context.Context, p *proposal) (int64, error) {
	if revision, ok := m.accepted(p.RequestID, platform.Entry{}); ok {
		return revision, nil
	}
	head, err := m.readHead(ctx)
	if err != nil {
		return 0, &PlatformError{"reading the settings", err}
	}
	p.head = head
	if revision, ok := m.accepted(p.RequestID, head); ok {
		return revision, nil
	}
	p.base = m.Current()
	if p.BaseRevision != 0 && p.BaseRevision != p.base.Revision {
		return 0, m.conflict(p.BaseRevision, head)
	}
	if p.base.Revision > head.Revision && head.Revision != 0 {
		return 0, &PlatformError{"reading the settings", errors.New("the platform returned a revision older than the one in force")}
	}
	return m.build(p)
}

// readHead returns the head and applies it. A missing head is a zero entry.
func (m *Manager) readHead(ctx context.Context) (platform.Entry, error) {
	asked := m.config.Now()
	head, err := m.config.Store.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{}, nil
	}
	if err != nil {
		return platform.Entry{}, err
	}
	_ = m.Apply(head.Revision, head.Value) // an invalid head may be replaced
	m.confirmRead(head.Revision, asked)
	return head, nil
}

// accepted tells whether a change is the head or in its history, or was seen
// by this VM before.
func (m *Manager) accepted(requestID string, head platform.Entry) (int64, bool) {
	if d, err := settings.DecodeDocument(head.Value); err == nil {
		if revision, ok := d.FindRequest(requestID, head.Revision); ok {
			return revision, true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	revision, ok := m.requests[requestID]
	return revision, ok
}

func (m *Manager) build(p *proposal) (int64, error) {
	old := p.base.Tree
	if old == nil {
		old = &settings.Tree{}
	}
	tree, err := p.Mutate(old.Clone())
	if err != nil {
		return 0, err
	}
	if tree == nil {
		return 0, &EditError{"Mutate returned no tree", "return the changed tree"}
	}
	text, err := settings.Marshal(tree)
	if err != nil {
		return 0, err
	}
	parsed, err := settings.Parse(text)
	if err != nil {
		return 0, err
	}
	if err := parsed.ValidateAt(m.config.Now()); err != nil {
		return 0, err
	}
	if lost := settings.Diff(tree, parsed); len(lost) > 0 {
		return 0, &EditError{"YAML text does not hold the change " + lost[0].String(), "write this value in another way"}
	}
	p.changes = settings.Diff(old, parsed)
	if len(p.changes) == 0 && !p.AdoptUnattributed && p.base.Rejected == nil && p.base.Tree != nil {
		return p.base.Revision, nil
	}
	p.value, err = m.encode(p, text, parsed)
	return 0, err
}

func (m *Manager) encode(p *proposal, text []byte, tree *settings.Tree) ([]byte, error) {
	paths := settings.ChangedPaths(p.changes)
	base := max(p.head.Revision, p.base.Revision) // the head is missing if it was deleted
	d := settings.NewDocument(text, p.Author, p.Reason, p.RequestID, m.config.Now(), base, paths)
	if p.base.Document != nil {
		d.PrependHistory(p.base.History())
	}
	if !p.AdoptUnattributed {
		d.Unattributed = settings.FilterInForce(p.base.Unattributed, tree)
	}
	return settings.EncodeDocument(d)
}

// writeText stores the full text of the change under its request id.
func (m *Manager) writeText(ctx context.Context, p *proposal) error {
	key := RevisionPrefix + p.RequestID
	expect := int64(0)
	for {
		_, err := m.config.Store.CompareAndSwap(ctx, key, p.value, expect, 0)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			if bytes.Equal(conflict.Current.Value, p.value) {
				return nil
			}
			expect = conflict.Current.Revision // left by an attempt that was not accepted
		case definite(err):
			return &PlatformError{"writing the text of the change", err}
		}
		if m.textIsStored(ctx, key, p.value) {
			return nil
		}
		wait.For(ctx, jitterless(err))
		if ctx.Err() != nil {
			return &PlatformError{"writing the text of the change", ctx.Err()}
		}
	}
}

// textIsStored reads back a write whose reply was lost. Writing again does not
// tell, because that reply may be lost too.
func (m *Manager) textIsStored(ctx context.Context, key string, value []byte) bool {
	entry, err := m.config.Store.Get(ctx, key)
	return err == nil && bytes.Equal(entry.Value, value)
}

// jitterless returns the pause after a failed write: none after a conflict.
func jitterless(err error) time.Duration {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return 0
	}
	return resolvePause
}

// definite tells whether err proves that nothing was written.
func definite(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited)
}

// writeHead makes the change the head. After a lost reply the same
// compare-and-swap is repeated; the expected revision lets only one of the
// attempts take effect.
func (m *Manager) writeHead(ctx context.Context, p *proposal) (int64, error) {
	for {
		asked := m.config.Now()
		if p.sent == (eventlog.Timestamp{}) {
			p.sent = m.config.Logger.Now()
		}
		revision, err := m.config.Store.CompareAndSwap(ctx, HeadKey, p.value, p.head.Revision, 0)
		if err == nil {
			m.acceptedAt(p, revision)
			m.confirmRead(revision, asked)
			return revision, nil
		}
		if definite(err) && !p.lost {
			return 0, &PlatformError{"writing the settings", err}
		}
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) && !definite(err) {
			p.lost = true
			m.config.Logger.Log(eventReplyLost, eventlog.Fields{"request_id": p.RequestID, "error": err.Error()})
		}
		revision, done, resolveErr := m.resolve(ctx, p, conflict)
		if done {
			return revision, resolveErr
		}
		wait.For(ctx, resolvePause)
		if ctx.Err() != nil {
			return 0, m.unresolved(p, err)
		}
	}
}

// resolve learns from the head what became of a write. The head comes from the
// conflict if there is one and is read back otherwise. done is false while it
// cannot be read or is still the one that the change is made on.
func (m *Manager) resolve(ctx context.Context, p *proposal, conflict *platform.ConflictError) (revision int64, done bool, err error) {
	var head platform.Entry
	if conflict != nil && len(conflict.Current.Value) > 0 {
		head = conflict.Current
		_ = m.Apply(head.Revision, head.Value) // a fault is kept in Current
	} else if head, err = m.readHead(ctx); err != nil {
		return 0, false, nil
	}
	if head.Revision <= p.head.Revision {
		return 0, false, nil
	}
	if revision, ok := m.accepted(p.RequestID, head); ok {
		return m.acceptedAt(p, revision), true, nil
	}
	if p.lost && !m.historyIsComplete(p, head) {
		return 0, true, m.unresolved(p, errors.New("the history of the head does not reach back to the change"))
	}
	return 0, true, m.conflict(p.head.Revision, head)
}

// historyIsComplete tells whether the history of head would contain the change
// if it had been accepted.
func (m *Manager) historyIsComplete(p *proposal, head platform.Entry) bool {
	d, err := settings.DecodeDocument(head.Value)
	if err != nil || d.Plain {
		return false
	}
	return d.CoversChangesSince(p.head.Revision)
}

func (m *Manager) unresolved(p *proposal, err error) error {
	m.config.Logger.Log(eventUnresolved, eventlog.Fields{"request_id": p.RequestID, "error": err.Error()})
	return &UnresolvedError{RequestID: p.RequestID, Err: err}
}

func (m *Manager) acceptedAt(p *proposal, revision int64) int64 {
	// Watches may have put the change in force before the reply of the write.
	m.config.Logger.LogAt(p.sent, eventAccepted, eventlog.Fields{
		"revision": revision, "author": p.Author, "reason": p.Reason, "request_id": p.RequestID,
	})
	_ = m.Apply(revision, p.value) // a no-op if a higher revision is in force
	return revision
}

func (m *Manager) conflict(base int64, head platform.Entry) error {
	c := &ConflictError{BaseRevision: base, Revision: head.Revision}
	if d, err := settings.DecodeDocument(head.Value); err == nil && !d.Plain {
		c.Author, c.Reason, c.RequestID = d.Author, d.Reason, d.RequestID
		for _, s := range d.ChangesSince(base) {
			c.Paths = append(c.Paths, s.Paths...)
		}
	}
	if s := m.Current(); len(c.Paths) == 0 && s.Revision == head.Revision {
		for _, u := range s.Unattributed {
			c.Paths = append(c.Paths, u.Path)
		}
	}
	m.config.Logger.Log(eventConflict, eventlog.Fields{"base": base, "revision": head.Revision, "author": c.Author})
	return c
}
