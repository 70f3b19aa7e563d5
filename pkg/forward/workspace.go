package forward

import (
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/core/outcome"
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
