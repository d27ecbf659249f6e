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
	// proposeTimeout bounds a proposal, including the attempts to find out
	// whether it was accepted.
	proposeTimeout = 10 * time.Second
	// retryPause is the pause between two attempts to write or to find out the
	// outcome of a write.
	retryPause = 200 * time.Millisecond
	// maxHeadReads limits the reads of a head that is older than the settings in
	// force.
	maxHeadReads = 3
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// Edit is a change of the settings.
type Edit struct {
	Author string
	Reason string
	// RequestID identifies the change. A change that is proposed repeatedly
	// with the same id is accepted at most once.
	RequestID string
	// BaseRevision is the revision that the author has seen; the change is
	// refused if another one is in force. 0 accepts any.
	BaseRevision int64
	// AdoptUnattributed attributes all unattributed settings to the author.
	AdoptUnattributed bool
	// Mutate returns the changed tree. It is called with a copy that it may
	// change.
	Mutate func(*settings.Tree) (*settings.Tree, error)
}

// proposal is an Edit with the state of its write to the platform.
type proposal struct {
	Edit
	head         platform.Entry // zero if there is none yet
	baseSnapshot *Snapshot      // settings that the change is based on
	value        []byte         // encoded document
	changes      []settings.Change
	mayBeWritten bool               // whether a write of the head may have taken effect
	sentAt       eventlog.Timestamp // when the first write of the head was sent
}

// Propose writes a change to the platform and returns its revision. It returns
// *ConflictError if another change was accepted first, *PlatformError if a call
// to the platform failed and the settings did not change, *UnresolvedError if it
// is unknown whether the change was accepted, and *ForgottenError if an earlier
// attempt may have been accepted so long ago that the history does not show it.
func (m *Manager) Propose(ctx context.Context, edit Edit) (int64, error) {
	if err := edit.validate(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	p := &proposal{Edit: edit}
	if revision, err := m.prepare(ctx, p); err != nil || revision != 0 {
		return revision, err
	}
	if err := m.writeDocument(ctx, p); err != nil {
		return 0, err
	}
	return m.writeHead(ctx, p)
}

func (e *Edit) validate() error {
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

// prepare reads the head, and builds and checks the new document. It returns a
// revision if the change needs no write.
func (m *Manager) prepare(ctx context.Context, p *proposal) (int64, error) {
	if revision, ok := m.findAccepted(p.RequestID, platform.Entry{}); ok {
		return revision, nil
	}
	head, err := m.readBase(ctx, p)
	if err != nil {
		return 0, &PlatformError{"reading the settings", err}
	}
	if revision, ok := m.findAccepted(p.RequestID, head); ok {
		return revision, nil
	}
	if p.BaseRevision != 0 && p.BaseRevision != p.baseSnapshot.Revision {
		return 0, m.newConflictError(p.BaseRevision, head)
	}
	if p.baseSnapshot.Revision > head.Revision && head.Revision != 0 {
		return 0, &PlatformError{"reading the settings", errors.New("the platform returned a revision older than the one in force")}
	}
	return m.buildDocument(p)
}

// readBase reads the head and the settings in force that belong to it. A watch
// may put a newer head in force while an older one is read; the head is then read
// again, so that a refusal names the change that was accepted.
func (m *Manager) readBase(ctx context.Context, p *proposal) (platform.Entry, error) {
	for range maxHeadReads {
		head, err := m.readHead(ctx)
		if err != nil {
			return platform.Entry{}, err
		}
		p.head, p.baseSnapshot = head, m.Current()
		if p.baseSnapshot.Revision <= head.Revision {
			break
		}
	}
	return p.head, nil
}

// readHead reads the head, applies it and returns it. It returns a zero entry
// if there is no head.
func (m *Manager) readHead(ctx context.Context) (platform.Entry, error) {
	askedAt := m.ageNow()
	head, err := m.config.Store.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{}, nil
	}
	if err != nil {
		return platform.Entry{}, err
	}
	_ = m.Apply(head.Revision, head.Value) // an invalid head may be replaced
	m.recordHeadRead(head.Revision, askedAt)
	return head, nil
}

// findAccepted returns the revision of a change that is the head or in its
// history, or that this VM has seen as accepted before.
func (m *Manager) findAccepted(requestID string, head platform.Entry) (int64, bool) {
	if d, err := settings.DecodeDocument(head.Value); err == nil {
		if revision, ok := d.FindRequest(requestID, head.Revision); ok {
			return revision, true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	revision, ok := m.revisionByRequestID[requestID]
	return revision, ok
}

func (m *Manager) buildDocument(p *proposal) (int64, error) {
	old := p.baseSnapshot.Tree
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
	if differences := settings.Diff(tree, parsed); len(differences) > 0 {
		return 0, &EditError{"the YAML text does not preserve the change " + differences[0].String(), "write this value in another way"}
	}
	p.changes = settings.Diff(old, parsed)
	if len(p.changes) == 0 && !p.AdoptUnattributed && p.baseSnapshot.Rejected == nil && p.baseSnapshot.Tree != nil {
		return p.baseSnapshot.Revision, nil
	}
	p.value, err = m.encodeDocument(p, text, parsed)
	return 0, err
}

func (m *Manager) encodeDocument(p *proposal, text []byte, tree *settings.Tree) ([]byte, error) {
	paths := settings.ChangedPaths(p.changes)
	baseRevision := max(p.head.Revision, p.baseSnapshot.Revision) // the head is missing if it was deleted
	d := settings.NewDocument(text, p.Author, p.Reason, p.RequestID, m.config.Now(), baseRevision, paths)
	if p.baseSnapshot.Document != nil {
		d.PrependHistory(p.baseSnapshot.History())
	}
	if !p.AdoptUnattributed {
		d.Unattributed = settings.FilterInForce(p.baseSnapshot.Unattributed, tree)
	}
	return settings.EncodeDocument(d)
}

// writeDocument stores the document of the change under its request id.
func (m *Manager) writeDocument(ctx context.Context, p *proposal) error {
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
			if !p.historyReaches(conflict.Current) {
				return &ForgottenError{RequestID: p.RequestID}
			}
			expect = conflict.Current.Revision // left by an attempt that was not accepted
		case isNotWritten(err):
			return &PlatformError{"writing the document of the change", err}
		}
		if m.isDocumentStored(ctx, key, p.value) {
			return nil
		}
		wait.For(ctx, pauseAfterWriteError(err))
		if ctx.Err() != nil {
			return &PlatformError{"writing the document of the change", ctx.Err()}
		}
	}
}

// historyReaches reports whether the head would show that an earlier attempt at the
// change was accepted, whose document is given. An attempt that is based on the
// head or a later revision cannot have been accepted before the head.
func (p *proposal) historyReaches(earlier platform.Entry) bool {
	d, err := settings.DecodeDocument(earlier.Value)
	if err != nil || d.Plain {
		return false
	}
	if d.BaseRevision >= p.head.Revision {
		return true
	}
	head, err := settings.DecodeDocument(p.head.Value)
	return err == nil && !head.Plain && head.CoversChangesSince(d.BaseRevision)
}

// isDocumentStored reads a document after a write whose reply was lost, and
// reports whether the write took effect. Repeating the write would not show
// that, because its reply may be lost too.
func (m *Manager) isDocumentStored(ctx context.Context, key string, value []byte) bool {
	entry, err := m.config.Store.Get(ctx, key)
	return err == nil && bytes.Equal(entry.Value, value)
}

// pauseAfterWriteError returns the pause after a failed write, which is none
// after a conflict.
func pauseAfterWriteError(err error) time.Duration {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return 0
	}
	return retryPause
}

// isNotWritten reports whether err proves that nothing was written.
func isNotWritten(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited)
}

// writeHead replaces the head with the document of the change. After a lost
// reply it repeats the same compare-and-swap; because of the expected revision,
// only one of the attempts can take effect.
func (m *Manager) writeHead(ctx context.Context, p *proposal) (int64, error) {
	for {
		askedAt := m.ageNow()
		if p.sentAt == (eventlog.Timestamp{}) {
			p.sentAt = m.config.Logger.Now()
		}
		revision, err := m.config.Store.CompareAndSwap(ctx, HeadKey, p.value, p.head.Revision, 0)
		if err == nil {
			m.recordAccepted(p, revision)
			m.recordHeadRead(revision, askedAt)
			return revision, nil
		}
		if isNotWritten(err) && !p.mayBeWritten {
			return 0, &PlatformError{"writing the settings", err}
		}
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) && !isNotWritten(err) {
			p.mayBeWritten = true
			m.config.Logger.Log(eventReplyLost, eventlog.Fields{"request_id": p.RequestID, "error": err.Error()})
		}
		revision, done, resolveErr := m.resolveWrite(ctx, p, conflict)
		if done {
			return revision, resolveErr
		}
		wait.For(ctx, retryPause)
		if ctx.Err() != nil {
			return 0, m.newUnresolvedError(p, err)
		}
	}
}

// resolveWrite finds out from the head whether a write took effect. The head is
// taken from the conflict if there is one and is read otherwise. done is false
// if the head cannot be read or is still the one that the change is based on.
func (m *Manager) resolveWrite(ctx context.Context, p *proposal, conflict *platform.ConflictError) (revision int64, done bool, err error) {
	var head platform.Entry
	if conflict != nil && len(conflict.Current.Value) > 0 {
		head = conflict.Current
		_ = m.Apply(head.Revision, head.Value) // an invalid document is recorded in Current
	} else if head, err = m.readHead(ctx); err != nil {
		return 0, false, nil
	}
	if head.Revision <= p.head.Revision {
		return 0, false, nil
	}
	if revision, ok := m.findAccepted(p.RequestID, head); ok {
		return m.recordAccepted(p, revision), true, nil
	}
	if p.mayBeWritten && !m.historyReachesBase(p, head) {
		return 0, true, m.newUnresolvedError(p, errors.New("the history of the head does not reach back to the change"))
	}
	return 0, true, m.newConflictError(p.head.Revision, head)
}

// historyReachesBase reports whether the history of head reaches back far
// enough to contain the change if it had been accepted.
func (m *Manager) historyReachesBase(p *proposal, head platform.Entry) bool {
	d, err := settings.DecodeDocument(head.Value)
	if err != nil || d.Plain {
		return false
	}
	return d.CoversChangesSince(p.head.Revision)
}

func (m *Manager) newUnresolvedError(p *proposal, err error) error {
	m.config.Logger.Log(eventUnresolved, eventlog.Fields{"request_id": p.RequestID, "error": err.Error()})
	return &UnresolvedError{RequestID: p.RequestID, Err: err}
}

func (m *Manager) recordAccepted(p *proposal, revision int64) int64 {
	// The event gets the time of the first write, because a watch may have put
	// the change in force before the reply to the write arrived.
	m.config.Logger.LogAt(p.sentAt, eventAccepted, eventlog.Fields{
		"revision": revision, "author": p.Author, "reason": p.Reason, "request_id": p.RequestID,
	})
	_ = m.Apply(revision, p.value) // a no-op if a higher revision is in force
	return revision
}

func (m *Manager) newConflictError(baseRevision int64, head platform.Entry) error {
	conflict := &ConflictError{BaseRevision: baseRevision, Revision: head.Revision}
	if d, err := settings.DecodeDocument(head.Value); err == nil && !d.Plain {
		conflict.Author, conflict.Reason, conflict.RequestID = d.Author, d.Reason, d.RequestID
		for _, s := range d.ChangesSince(baseRevision) {
			conflict.Paths = append(conflict.Paths, s.Paths...)
		}
	}
	if s := m.Current(); len(conflict.Paths) == 0 && s.Revision == head.Revision {
		for _, u := range s.Unattributed {
			conflict.Paths = append(conflict.Paths, u.Path)
		}
	}
	m.config.Logger.Log(eventConflict, eventlog.Fields{"base": baseRevision, "revision": head.Revision, "author": conflict.Author})
	return conflict
}
