package ingress

import (
	"sync"
	"time"

	"agatepulley.example/agatepulley/pkg/config"
)

// workspaceLimiter limits the requests in flight of each workspace. It is safe for concurrent use.
type workspaceLimiter struct {
	mu       sync.Mutex
	inFlight map[string]int
}

func newWorkspaceLimiter() *workspaceLimiter {
	return &workspaceLimiter{inFlight: make(map[string]int)}
}

// acquire counts a request of the workspace. It returns false if the workspace is at its limit.
func (w *workspaceLimiter) acquire(workspace *config.Workspace) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if workspace.MaxInFlight > 0 && w.inFlight[workspace.ID] >= workspace.MaxInFlight {
		return false
	}
	w.inFlight[workspace.ID]++
	return true
}

// release ends a request that acquire has counted.
func (w *workspaceLimiter) release(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight[id]--
	if w.inFlight[id] <= 0 {
		delete(w.inFlight, id)
	}
}

// routeClassifier classifies routes as short or long by the mean duration of their requests, unless the configuration
// gives the class. It is safe for concurrent use.
type routeClassifier struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

func newRouteClassifier() *routeClassifier {
	return &routeClassifier{mean: make(map[string]time.Duration)}
}

// durationWeight is the weight of the latest duration in the moving average of a route.
const durationWeight = 0.1

// isLong reports whether the requests of a route count as long.
func (c *routeClassifier) isLong(route *config.Route, threshold time.Duration) bool {
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

// observe records the time from the arrival of a request of the route to the end of its response.
func (c *routeClassifier) observe(route *config.Route, duration time.Duration) {
	if route.Class != config.ClassAuto {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	mean, ok := c.mean[route.ID]
	if !ok {
		c.mean[route.ID] = duration
		return
	}
	c.mean[route.ID] = mean + time.Duration(durationWeight*float64(duration-mean))
}
