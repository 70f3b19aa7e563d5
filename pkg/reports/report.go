package reports

import "time"

// Endpoint is an owner's report on its endpoint. The short names keep datagrams small.
type Endpoint struct {
	ID string `json:"i"`
	// FailPerMille is the probability that the endpoint is failing, in thousandths.
	FailPerMille int `json:"f"`
	Busy         int `json:"b,omitempty"`
	Queued       int `json:"q,omitempty"`
	Slots        int `json:"s"`
	// ServiceMS is the mean time for a request, in milliseconds.
	ServiceMS int `json:"m,omitempty"`
	// OutcomeMS is the time since the latest outcome of a request, in milliseconds, or negative if there was none.
	OutcomeMS int `json:"o"`
}

// Repeats is what a node counted for a service in the latest window of the retry budget.
type Repeats struct {
	Service  string  `json:"s"`
	Requests float64 `json:"r"`
	Repeats  float64 `json:"u,omitempty"`
}

// Report is what one node tells another.
type Report struct {
	// Host is the IP number of the sender's host.
	Host        string `json:"h"`
	Zone        string `json:"z"`
	Incarnation uint64 `json:"n"`
	// Sequence counts the reports to this receiver.
	Sequence uint64 `json:"k"`
	Leaving  bool   `json:"l,omitempty"`
	// ConfigVersion, Revision and Digest are the sender's picture of the fleet, and StoreMS the time since the store
	// last answered it, in milliseconds, or negative.
	ConfigVersion uint64 `json:"c"`
	Revision      uint64 `json:"r"`
	Digest        uint64 `json:"d"`
	StoreMS       int    `json:"a"`
	// HeardMS is the time since the sender last heard the receiver, in milliseconds, or negative.
	HeardMS   int        `json:"y"`
	Endpoints []Endpoint `json:"e,omitempty"`
	Repeats   []Repeats  `json:"b,omitempty"`
}

// Known is the latest report on an endpoint, with the time at which it was received.
type Known struct {
	Endpoint
	At time.Duration
	// Sent counts the requests that this node has sent to the endpoint since.
	Sent int
}
