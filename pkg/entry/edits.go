package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/goccy/go-yaml"

	"hickoryroute/pkg/coordination/config"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/transport/operatorhttp"
)

// Edit implements operatorhttp.Backend.
func (b operatorBackend) Edit(ctx context.Context, author string, e operatorhttp.EditRequest) (operatorhttp.EditReply, error) {
	mutate, err := b.mutation(ctx, author, e)
	if err != nil {
		return operatorhttp.EditReply{}, err
	}
	before := b.vm.config.Current().Tree
	revision, err := b.vm.config.Propose(ctx, config.Edit{
		Author: author, Reason: e.Reason, RequestID: e.RequestID, Base: e.Base, Mutate: mutate,
	})
	if err != nil {
		return operatorhttp.EditReply{}, editProblem(err)
	}
	reply := operatorhttp.EditReply{Revision: revision}
	if after := b.vm.config.Current(); after.Revision == revision {
		reply.Changes = changes(before, after.Tree)
	}
	return reply, nil
}

type mutateFunc = func(*settings.Tree) (*settings.Tree, error)

// mutation returns the change of the tree that e asks for.
func (b operatorBackend) mutation(ctx context.Context, author string, e operatorhttp.EditRequest) (mutateFunc, error) {
	switch e.Op {
	case operatorhttp.OpApply:
		return replaceTree(e.Tree)
	case operatorhttp.OpRoll:
		text, err := b.RevisionText(ctx, e.Revision)
		if err != nil {
			return nil, err
		}
		return replaceTree(text)
	case operatorhttp.OpDrain, operatorhttp.OpRestore:
		return drainMutation(author, e), nil
	}
	path, err := settings.ParsePath(e.Path)
	if err != nil {
		return nil, editProblem(err)
	}
	switch e.Op {
	case operatorhttp.OpRemove:
		return func(t *settings.Tree) (*settings.Tree, error) { return t.RemoveOverride(path) }, nil
	case operatorhttp.OpSet:
		var rules settings.Rules
		if err := yaml.UnmarshalWithOptions([]byte(e.Rules), &rules, yaml.Strict()); err != nil {
			return nil, protocol.NewProblem(http.StatusUnprocessableEntity, protocol.CodeInvalidSettings, "",
				fmt.Sprintf("the rules are not valid: %v", err), "see docs/CONFIGURATION.md for the rules")
		}
		return setMutation(author, path, rules, e), nil
	default:
		return nil, protocol.NewProblem(http.StatusBadRequest, protocol.CodeBadRequest, "",
			fmt.Sprintf("unknown operation %q", e.Op), "use set, remove, drain, restore, apply or roll")
	}
}

func replaceTree(text string) (mutateFunc, error) {
	tree, err := settings.Parse([]byte(text))
	if err != nil {
		return nil, editProblem(err)
	}
	return func(*settings.Tree) (*settings.Tree, error) { return tree, nil }, nil
}

func setMutation(author string, path settings.Path, rules settings.Rules, e operatorhttp.EditRequest) mutateFunc {
	override := settings.Override{
		Path: path.String(), Rules: rules, Author: author, Reason: e.Reason,
		SetAt: time.Now().UTC().Truncate(time.Second),
	}
	if e.Expires != nil {
		override.Expires = *e.Expires
	}
	return func(t *settings.Tree) (*settings.Tree, error) { return t.SetOverride(override) }
}

// drainMutation sets or removes a drain. A path that is an availability zone
// stands for all targets in it.
func drainMutation(author string, e operatorhttp.EditRequest) mutateFunc {
	on := true
	drained := settings.Rules{Drain: &on}
	return func(t *settings.Tree) (*settings.Tree, error) {
		paths, err := drainPaths(t, e.Path)
		if err != nil {
			return nil, err
		}
		for _, path := range paths {
			if e.Op == operatorhttp.OpDrain {
				t, err = setMutation(author, path, drained, e)(t)
			} else {
				t, err = t.RemoveOverrideRules(path, drained)
			}
			if err != nil {
				return nil, err
			}
		}
		return t, nil
	}
}

func drainPaths(t *settings.Tree, text string) ([]settings.Path, error) {
	if _, isZone := t.RegionOfZone(text); !isZone {
		path, err := settings.ParsePath(text)
		return []settings.Path{path}, err
	}
	var paths []settings.Path
	for _, info := range t.Targets() {
		if info.Zone == text {
			paths = append(paths, targetPath(info.TargetRef))
		}
	}
	return paths, nil
}
