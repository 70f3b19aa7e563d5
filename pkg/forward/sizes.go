package forward

import (
	"sync"

	"agatepulley.example/agatepulley/core/placement"
)

const (
	// A route whose requests have not been answered yet is assumed to move smallBytes, or largeBytes if its kind moves many.
	smallBytes = 2 << 10
	largeBytes = 100 << 10
	// headBytes is added for the heads of the request and the response.
	headBytes = 1 << 10
	// sizeWeight is the weight of the latest request in the mean of its route.
	sizeWeight = 0.1
	// maxSizes bounds the number of routes whose sizes are kept.
	maxSizes = 4096
)

// sizes holds the mean number of bytes that a request of a route and its response have. The zero value knows none.
type sizes struct {
	mu     sync.Mutex
	routes map[string]float64
}

// sizeOf returns the number of bytes that a request and its response are expected to have.
func (f *Forwarder) sizeOf(r *request) float64 {
	f.sizes.mu.Lock()
	defer f.sizes.mu.Unlock()
	if known, ok := f.sizes.routes[r.route.Name]; ok {
		return known
	}
	if r.route.Kind.Large() {
		return largeBytes
	}
	return smallBytes
}

// observeSize takes the size of a request and its response into account where bytes have a price.
func (f *Forwarder) observeSize(r *request, responseBytes int64) {
	if f.options.Traffic == (placement.Traffic{}) {
		return
	}
	size := float64(headBytes + max(r.body.Length, 0) + max(responseBytes, 0))
	f.sizes.mu.Lock()
	defer f.sizes.mu.Unlock()
	known, ok := f.sizes.routes[r.route.Name]
	switch {
	case ok:
		f.sizes.routes[r.route.Name] = known + sizeWeight*(size-known)
	case f.sizes.routes == nil:
		f.sizes.routes = map[string]float64{r.route.Name: size}
	case len(f.sizes.routes) < maxSizes:
		f.sizes.routes[r.route.Name] = size
	}
}
