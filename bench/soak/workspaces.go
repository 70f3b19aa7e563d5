package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"agatepulley.example/agatepulley/platform/platformtest"
)

// Workspaces of plans with Plan.Workspaces. Every limitedEvery-th request of the load is one of the limited workspace, which is more
// than its limit allows.
const (
	workspaceFree    = "free"
	workspaceLimited = "limited"
	limitedEvery     = 4
	limitedRate      = 15
	limitedBurst     = 10
	// quotaWindow is the time over which the limit is checked. A token may be used a second after it was handed out, and the request
	// may then wait until its deadline.
	quotaWindow = 5 * time.Second
	tokenTime   = time.Second
)

func keyOf(workspace string) string {
	return "soak-key-of-" + workspace
}

func tenants() []platformtest.Tenant {
	return []platformtest.Tenant{
		{Name: workspaceFree, Keys: []string{keyOf(workspaceFree)}, Priority: -1},
		{Name: workspaceLimited, Keys: []string{keyOf(workspaceLimited)}, Priority: -1, Rate: limitedRate, Burst: limitedBurst},
	}
}

// workspaceActions are the actions of plans with workspaces.
var workspaceActions = []action{{"store comes back older", "platform", (*faults).restoreStore}}

const (
	// storeAway is how long the store does not answer before it comes back from a copy.
	storeAway = 200 * time.Millisecond
	// lapseTime is the time after which the store drops entries of the copy that are not written again.
	lapseTime = 4500 * time.Millisecond
)

// restoreStore lets the store come back from a copy. The operator and the endpoints then write again what it lacks.
func (x *faults) restoreStore(_ *host, hold time.Duration, _ int) {
	x.fleet.store.Copy()
	time.Sleep(hold)
	defer x.begin(everyone, false, "store comes back older")()
	x.fleet.store.SetFault(func(platformtest.Caller) platformtest.Fault { return platformtest.Unavailable })
	time.Sleep(storeAway)
	x.fleet.store.Restore()
	x.fleet.store.SetFault(nil)
	x.publish()
	x.tasks.Go(func() {
		time.Sleep(lapseTime)
		x.fleet.lapseRetired()
	})
}

// lapseRetired removes the entries of endpoints that have ended.
func (f *fleet) lapseRetired() {
	f.mu.Lock()
	retired := slices.Clone(f.retired)
	f.mu.Unlock()
	for _, e := range retired {
		e.Deregister()
	}
}

// authorize sets the key of a request's workspace.
func (s *sent) authorize(header http.Header) {
	if s.workspace != "" {
		header.Set("Authorization", "Token "+keyOf(s.workspace))
	}
}

// checkWorkspace looks for runs with another workspace than that of the key, or with the key.
func (r *record) checkWorkspace(s *sent, one run, add report) {
	if s.workspace == "" {
		return
	}
	if !slices.Equal(one.Tenants, []string{s.workspace}) || len(one.Authorization) > 0 {
		add("UNASKED", s, "ran for %q, sent by %q, with %d keys", one.Tenants, s.workspace, len(one.Authorization))
	}
}

// beyondLimits looks for windows in which more requests of the limited workspace ran than its limit allows.
func (r *record) beyondLimits() []string {
	var times []time.Time
	for _, s := range r.requests {
		if runs := r.runs[s.id]; s.workspace == workspaceLimited && len(runs) > 0 {
			first := slices.MinFunc(runs, func(a, b run) int { return a.At.Compare(b.At) })
			times = append(times, first.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	allowed := int(limitedBurst + limitedRate*(quotaWindow+tokenTime+deadline).Seconds())
	for n := range times {
		end := n
		for end < len(times) && times[end].Sub(times[n]) < quotaWindow {
			end++
		}
		if end-n > allowed {
			return []string{fmt.Sprintf("QUOTA: %d requests of %s ran within %v, %d are allowed", end-n, workspaceLimited, quotaWindow, allowed)}
		}
	}
	return nil
}
