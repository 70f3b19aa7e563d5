package ingress

import (
	"sync"
	"time"

	"agatepulley.example/agatepulley/pkg/config"
)

// workspaces counts the requests in flight of each workspace. It is safe for concurrent use.
type workspaces struct {
	mu       sync.Mutex
	inFlight map[string]int
}

func newWorkspaces() *workspaces {
	return &workspaces{inFlight: make(map[string]int)}
}

// enter counts a request, or returns false if the workspace is at its limit.
func (w *workspaces) enter(workspace *config.Workspace) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if workspace.MaxInFlight > 0 && w.inFlight[workspace.ID] >= workspace.MaxInFlight {
		return false
	}
	w.inFlight[workspace.ID]++
	return true
}

func (w *workspaces) leave(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight[id]--
	if w.inFlight[id] <= 0 {
		delete(w.inFlight, id)
	}
}

// classes learns which routes are long from the service times of their requests. It is safe for concurrent use.
type classes struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

func newClasses() *classes {
	return &classes{mean: make(map[string]time.Duration)}
}

const classWeight = 0.1

// long reports whether the requests of a route count as long.
func (c *classes) long(route *config.Route, threshold time.Duration) bool {
	switch route.Class {
	case config.ClassLong:
		return true
	case config.ClassShort:
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mean[route.ID] >= threshold
}

// observe records the time that a request of the route occupied its endpoint.
func (c *classes) observe(route *config.Route, took time.Duration) {
	if route.Class != config.ClassAuto {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	mean, known := c.mean[route.ID]
	if !known {
		c.mean[route.ID] = took
		return
	}
	c.mean[route.ID] = mean + time.Duration(classWeight*float64(took-mean))
}
