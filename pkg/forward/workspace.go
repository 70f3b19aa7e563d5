package forward

import (
	"context"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/core/quota"
	"agatepulley.example/agatepulley/core/routing"
	"agatepulley.example/agatepulley/pkg/relay"
)

// headerKey is the header field that carries the key of a workspace.
const headerKey = "Authorization"

// identify finds the workspace whose key a request carries. It refuses a request without the key of a workspace if its route
// requires one.
func (f *Forwarder) identify(h *protocol.RequestHeader, table *routing.Table, r *request) *outcome.Error {
	if !table.RequiresKeys() {
		return nil
	}
	if fields := h.GetAll(headerKey); len(fields) == 1 {
		if key, ok := f.keyIn(fields[0]); ok {
			r.key = routing.DigestKey(key)
			r.workspace = table.WorkspaceOf(r.key)
		}
	}
	if r.workspace == nil && !r.route.Public {
		return refuseKey()
	}
	return nil
}

// keyIn returns the key in the value of a field, or false if the value is of another scheme.
func (f *Forwarder) keyIn(value string) (string, bool) {
	scheme, key, _ := strings.Cut(value, " ")
	return strings.TrimSpace(key), strings.EqualFold(scheme, f.options.Headers.KeyScheme)
}

func refuseKey() *outcome.Error {
	return outcome.Refuse(http.StatusUnauthorized, outcome.ReasonKeyUnknown, stepAccept, "", nil)
}

// replaceKey removes the key of a workspace from the head that goes to endpoints, and sets the workspace's name instead.
func (f *Forwarder) replaceKey(table *routing.Table, r *request) {
	if !table.RequiresKeys() {
		return
	}
	h := &r.head.Header
	kept := h.GetAll(headerKey)
	h.Del(headerKey)
	for _, value := range kept {
		if _, isKey := f.keyIn(value); !isKey {
			h.Add(headerKey, value)
		}
	}
	h.Del(f.options.Headers.Workspace)
	if r.workspace != nil {
		relay.SetOnly(h, f.options.Headers.Workspace, r.workspace.Name)
	}
}

// Quotas limits the requests of workspaces over the fleet. *quotas.Service implements it.
type Quotas interface {
	// Acquire takes a token for a request.
	Acquire(ctx context.Context, w *routing.Workspace, version uint64) quota.Decision
	// Return gives back the token of a request that was not run.
	Return(w *routing.Workspace, d quota.Decision)
}

// takeToken takes a token for a request if its workspace has a limit, or refuses the request.
func (f *Forwarder) takeToken(ctx context.Context, r *request) (quota.Decision, *outcome.Error) {
	if r.workspace == nil || !r.workspace.Limited() {
		return quota.Decision{}, nil
	}
	d := f.options.Quotas.Acquire(ctx, r.workspace, r.version)
	status, reason := http.StatusTooManyRequests, outcome.ReasonWorkspaceRate
	switch d.Verdict {
	case quota.Admitted:
		return d, nil
	case quota.Uncounted:
		status, reason = http.StatusServiceUnavailable, outcome.ReasonWorkspaceUncounted
	}
	failure := outcome.Refuse(status, reason, stepQuota, "", nil)
	failure.RetryAfter = d.Wait
	return d, failure
}

// returnToken gives the token of a request back if the request was not run.
func (f *Forwarder) returnToken(r *request, d quota.Decision, failure *outcome.Error) {
	if d.Verdict == quota.Admitted && failure.Outcome == outcome.NotRun {
		f.options.Quotas.Return(r.workspace, d)
	}
}

// keyInForce reports whether the workspace of a request still holds its key. The configuration may have changed while the request
// waited.
func (f *Forwarder) keyInForce(r *request) bool {
	if r.workspace == nil || r.route.Public {
		return true
	}
	table := f.options.Table()
	holder := table.WorkspaceOf(r.key)
	return !table.RequiresKeys() || (holder != nil && holder.Name == r.workspace.Name)
}
