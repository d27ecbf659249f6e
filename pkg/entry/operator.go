package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"hickoryroute/pkg/coordination/config"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/state/timeline"
	"hickoryroute/pkg/transport/operatorhttp"
)

// operatorBackend implements operatorhttp.Backend.
type operatorBackend struct{ vm *VM }

// Tree implements operatorhttp.Backend.
func (b operatorBackend) Tree() operatorhttp.TreeReply {
	s := b.vm.config.Current()
	reply := operatorhttp.TreeReply{Revision: s.Revision, Unattributed: toUnattributed(s), RejectionReason: rejectionText(s)}
	if s.Tree == nil {
		return reply
	}
	reply.Author, reply.Reason, reply.At = s.Document.Author, s.Document.Reason, s.Document.At
	reply.Tree = s.Document.Tree
	return reply
}

// rejectionText returns why a newer revision is not in force, or "".
func rejectionText(s *config.Snapshot) string {
	if s.Rejected == nil {
		return ""
	}
	return s.Rejected.Err.Error()
}

func toOverrides(rules []settings.OverrideRule) []operatorhttp.Override {
	var list []operatorhttp.Override
	for _, r := range rules {
		list = append(list, operatorhttp.Override{
			Path: r.Path, Key: r.Key, Value: r.Value, Author: r.Author, Reason: r.Reason,
			SetAt: timeOrNil(r.SetAt), Expires: timeOrNil(r.Expires), Expired: r.Expired,
		})
	}
	return list
}

func toUnattributed(s *config.Snapshot) []operatorhttp.Unattributed {
	var list []operatorhttp.Unattributed
	for _, u := range s.Unattributed {
		list = append(list, operatorhttp.Unattributed{Path: u.Path, Key: u.Key, Value: u.Value, Revision: u.Revision})
	}
	return list
}

// Explain implements operatorhttp.Backend.
func (b operatorBackend) Explain(text string) (operatorhttp.ExplainReply, error) {
	s := b.vm.config.Current()
	if s.Tree == nil {
		return operatorhttp.ExplainReply{}, b.vm.notReadyProblem()
	}
	path, err := settings.ParsePath(text)
	if err != nil {
		return operatorhttp.ExplainReply{}, settingsProblem(err)
	}
	now := time.Now()
	inForce, err := s.Tree.Explain(path, now)
	if err != nil {
		return operatorhttp.ExplainReply{}, settingsProblem(err)
	}
	reply := operatorhttp.ExplainReply{Path: path.String(), Revision: s.Revision, Unattributed: toUnattributed(s)}
	for _, f := range inForce {
		reply.Settings = append(reply.Settings, operatorhttp.Setting{
			Key: f.Key, Value: f.Value, Source: f.From, Override: f.Override, Author: f.Author,
			Reason: f.Reason, SetAt: timeOrNil(f.SetAt), Expires: timeOrNil(f.Expires),
		})
	}
	for _, o := range toOverrides(s.Tree.OverrideRulesFor(path, now)) {
		if o.Expired {
			reply.Expired = append(reply.Expired, o)
		}
	}
	return reply, nil
}

func timeOrNil(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}

// Validate implements operatorhttp.Backend.
func (b operatorBackend) Validate(text string) (operatorhttp.ValidateReply, error) {
	s := b.vm.config.Current()
	tree, err := settings.Parse([]byte(text))
	if err != nil {
		return operatorhttp.ValidateReply{}, settingsProblem(err)
	}
	if err := tree.ValidateAt(time.Now()); err != nil {
		return operatorhttp.ValidateReply{}, settingsProblem(err)
	}
	return operatorhttp.ValidateReply{Revision: s.Revision, Changes: diffTrees(s.Tree, tree)}, nil
}

func diffTrees(before, after *settings.Tree) []operatorhttp.Change {
	list := []operatorhttp.Change{}
	for _, c := range settings.Diff(before, after) {
		list = append(list, operatorhttp.Change{Path: c.Path, Key: c.Key, Old: c.Old, New: c.New})
	}
	return list
}

// History implements operatorhttp.Backend.
func (b operatorBackend) History(ctx context.Context) ([]operatorhttp.Change, error) {
	summaries := b.vm.config.History(ctx)
	list := make([]operatorhttp.Change, 0, len(summaries))
	for i := len(summaries) - 1; i >= 0; i-- {
		s := summaries[i]
		author := s.Author
		if author == "" {
			author = "(unattributed)"
		}
		list = append(list, operatorhttp.Change{
			Revision: s.Revision, Author: author, Reason: s.Reason, At: s.At, Paths: s.Paths,
		})
	}
	return list, nil
}

// RevisionText implements operatorhttp.Backend.
func (b operatorBackend) RevisionText(ctx context.Context, revision int64) (string, error) {
	for _, s := range b.vm.config.History(ctx) {
		if s.Revision != revision {
			continue
		}
		document, err := b.vm.config.ChangeDocument(ctx, s.RequestID)
		if err != nil {
			return "", settingsProblem(err)
		}
		return document.Tree, nil
	}
	return "", protocol.NewProblem(http.StatusNotFound, protocol.CodeUnknownPath, "",
		"the history contains no such revision", "choose one from hickoryroute history")
}

// Timeline implements operatorhttp.Backend.
func (b operatorBackend) Timeline() []timeline.Event { return b.vm.timelineRing.Events() }

// Ready implements operatorhttp.Backend.
func (b operatorBackend) Ready() (bool, string) {
	switch {
	case b.vm.stopping.Load():
		return false, "a planned stop is running"
	case b.vm.view.Load() == nil:
		return false, "no settings yet"
	default:
		return true, ""
	}
}

// SettingsAge implements operatorhttp.Backend.
func (b operatorBackend) SettingsAge() time.Duration {
	age, _ := b.vm.config.Age()
	return age
}

// WriteMetrics implements operatorhttp.Backend.
func (b operatorBackend) WriteMetrics(w io.Writer) {
	metrics.WritePrometheus(w, true)
	b.vm.metrics.WritePrometheus(w)
}

// settingsProblem converts an error of the settings to a problem document.
func settingsProblem(err error) error {
	var (
		conflictErr   *config.ConflictError
		platformErr   *config.PlatformError
		unresolvedErr *config.UnresolvedError
		forgottenErr  *config.ForgottenError
		errorList     settings.ErrorList
		settingsErr   *settings.Error
		editErr       *config.EditError
	)
	newProblem := func(status int, code protocol.Code, remedy string) error {
		return protocol.NewProblem(status, code, "", err.Error(), remedy)
	}
	var problem *protocol.Problem
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &conflictErr):
		return newProblem(http.StatusConflict, protocol.CodeConflict, "see the other change with hickoryroute history, then repeat yours")
	case errors.As(err, &platformErr):
		return newProblem(http.StatusServiceUnavailable, protocol.CodePlatformUnavailable, "nothing was accepted; try again when the platform answers")
	case errors.As(err, &unresolvedErr):
		return newProblem(http.StatusServiceUnavailable, protocol.CodePlatformUnavailable, "repeat the edit with the same request_id; it is not applied twice")
	case errors.As(err, &forgottenErr):
		return newProblem(http.StatusConflict, protocol.CodeConflict, "read the settings; repeat the edit with a new request_id if it is missing")
	case errors.As(err, &errorList), errors.As(err, &settingsErr), errors.As(err, &editErr):
		return newProblem(http.StatusUnprocessableEntity, protocol.CodeInvalidSettings, "correct the tree or path; nothing was changed")
	default:
		return err
	}
}
