package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"

	"hickoryroute/pkg/transport/platform"
)

// rolePrefix follows the prefix of the VM records in the keys of the claims of roles, so
// that the claims are followed and copied together with the VM list.
const rolePrefix = "role/"

// RoleClaim says which VM has claimed a role that one VM has at a time. A claim has no
// lease: it stays until another VM replaces it under its revision.
type RoleClaim struct {
	// VM and Address are the ID and the peer address of the VM; both are empty if the
	// VM has given the role up.
	VM, Address string
	// Settled is true if the role of whoever held it before the VM had ended when the
	// claim was written.
	Settled  bool
	Revision int64
}

// settledText is the third word of a settled claim.
const settledText = "settled"

// RoleClaims returns the claims by the names of the roles. Callers must not modify the
// map. The age of the claims is that of the VM list.
func (v *VMRegistry) RoleClaims() map[string]RoleClaim { return *v.roles.Load() }

// ClaimRole replaces the claim of a role that has a revision (0: there is none). It
// returns the new revision.
func (v *VMRegistry) ClaimRole(ctx context.Context, role string, expect int64, claim RoleClaim) (int64, error) {
	// Versions that know no roles reject an array as a VM record.
	text := [3]string{claim.VM, claim.Address}
	if claim.Settled {
		text[2] = settledText
	}
	value, err := json.Marshal(text)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, v.cfg.Timing.CallTimeout)
	defer cancel()
	return v.cfg.Store.CompareAndSwap(ctx, v.cfg.Layout.WritablePrefix+"vm/"+rolePrefix+role, value, expect, 0)
}

// updateRoles publishes the claims among some entries. The caller holds the lock.
func (v *VMRegistry) updateRoles(entries map[string]platform.Entry) {
	claims := make(map[string]RoleClaim, len(entries))
	for _, claim := range v.roleDecoder.decodeAll(entries) {
		claims[claim.role] = claim.RoleClaim
	}
	if !maps.Equal(claims, v.RoleClaims()) {
		v.roles.Store(&claims)
	}
}

// namedClaim is a claim with the name of its role.
type namedClaim struct {
	role string
	RoleClaim
}

// decodeRole decodes the claim of a role.
func (v *VMRegistry) decodeRole(e platform.Entry) (namedClaim, error) {
	_, role, _ := strings.Cut(strings.TrimPrefix(e.Key, v.cfg.Layout.WritablePrefix), "/"+rolePrefix)
	var text [3]string
	if err := json.Unmarshal(e.Value, &text); err != nil {
		return namedClaim{}, fmt.Errorf("role %q: %w", role, err)
	}
	return namedClaim{role, RoleClaim{VM: text[0], Address: text[1], Settled: text[2] == settledText, Revision: e.Revision}}, nil
}
