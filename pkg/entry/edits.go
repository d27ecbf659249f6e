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
	mutate, err := b.buildMutation(ctx, author, e)
	if err != nil {
		return operatorhttp.EditReply{}, err
	}
	var before, after *settings.Tree
	recordTrees := func(t *settings.Tree) (*settings.Tree, error) {
		var err error
		before = t.Clone()
		after, err = mutate(t)
		return after, err
	}
	revision, err := b.vm.config.Propose(ctx, config.Edit{
		Author: author, Reason: e.Reason, RequestID: e.RequestID, BaseRevision: e.BaseRevision, Mutate: recordTrees,
	})
	if err != nil {
		return operatorhttp.EditReply{}, settingsProblem(err)
	}
	reply := operatorhttp.EditReply{Revision: revision}
	if after != nil { // nil when the change was accepted by an earlier request
		reply.Changes = diffTrees(before, after)
		reply.Replaced, reply.Kept = earlierOverrides(before, after, e)
	}
	return reply, nil
}

// earlierOverrides returns the override rules that existed at the edited paths
// before a set or drain: those that it replaced and those that it kept.
func earlierOverrides(before, after *settings.Tree, e operatorhttp.EditRequest) (replaced, kept []operatorhttp.Override) {
	if e.Op != operatorhttp.OpSet && e.Op != operatorhttp.OpDrain {
		return nil, nil
	}
	paths, err := drainPaths(before, e.Path)
	if err != nil {
		return nil, nil
	}
	edited := map[string]bool{}
	for _, p := range paths {
		edited[p.String()] = true
	}
	now := time.Now()
	remaining := map[settings.OverrideRule]bool{}
	for _, o := range after.OverrideRules(now) {
		remaining[o] = true
	}
	for _, o := range before.OverrideRules(now) {
		if !edited[o.Path] {
			continue
		}
		converted := toOverrides([]settings.OverrideRule{o})
		if remaining[o] {
			kept = append(kept, converted...)
		} else {
			replaced = append(replaced, converted...)
		}
	}
	return replaced, kept
}

type treeMutation = func(*settings.Tree) (*settings.Tree, error)

// buildMutation returns the function that applies the edit e to a tree.
func (b operatorBackend) buildMutation(ctx context.Context, author string, e operatorhttp.EditRequest) (treeMutation, error) {
	switch e.Op {
	case operatorhttp.OpApply:
		return applyTree(e)
	case operatorhttp.OpRollForward:
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
		return nil, settingsProblem(err)
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

// applyTree returns a mutation that replaces the whole tree. It requires the
// revision that the author edited, unless the tree in force is empty: without
// it, the edit could undo changes that other operators made since.
func applyTree(e operatorhttp.EditRequest) (treeMutation, error) {
	replace, err := replaceTree(e.Tree)
	if err != nil || e.BaseRevision != 0 {
		return replace, err
	}
	return func(t *settings.Tree) (*settings.Tree, error) {
		if len(t.Regions) > 0 {
			return nil, protocol.NewProblem(http.StatusBadRequest, protocol.CodeBadRequest, "",
				"the tree names no revision that it is based on, and applying it may undo the changes of others",
				"edit the output of hickoryroute show, whose first line contains the revision, or pass --base")
		}
		return replace(t)
	}, nil
}

func replaceTree(text string) (treeMutation, error) {
	tree, err := settings.Parse([]byte(text))
	if err != nil {
		return nil, settingsProblem(err)
	}
	return func(*settings.Tree) (*settings.Tree, error) { return tree, nil }, nil
}

func setMutation(author string, path settings.Path, rules settings.Rules, e operatorhttp.EditRequest) treeMutation {
	override := settings.Override{
		Path: path.String(), Rules: rules, Author: author, Reason: e.Reason,
		SetAt: time.Now().UTC().Truncate(time.Second),
	}
	if e.Expires != nil {
		override.Expires = *e.Expires
	}
	return func(t *settings.Tree) (*settings.Tree, error) { return t.SetOverride(override) }
}

// drainMutation returns a mutation that sets or removes a drain. An availability
// zone in place of a path stands for all targets in the zone.
func drainMutation(author string, e operatorhttp.EditRequest) treeMutation {
	drain := true
	drainRules := settings.Rules{Drain: &drain}
	return func(t *settings.Tree) (*settings.Tree, error) {
		paths, err := drainPaths(t, e.Path)
		if err != nil {
			return nil, err
		}
		for _, path := range paths {
			if e.Op == operatorhttp.OpDrain {
				t, err = setMutation(author, path, drainRules, e)(t)
			} else {
				t, err = t.RemoveOverrideRules(path, drainRules)
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
