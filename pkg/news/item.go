// Package news spreads short items among the nodes: a host that leaves, the state of an endpoint, a fingerprint that
// crashes backend servers. Each node pushes an item that is new to it to four random peers, and the exchange of pkg/peer
// carries items to nodes that the pushes missed. Items merge by (incarnation, sequence) of their origin, so that neither
// order nor repetition matters.
package news

import (
	"encoding/json"
	"time"
)

// Kind is the subject matter of an item.
type Kind string

// Kinds of items.
const (
	// KindHost says whether the host named by Subject is leaving. Its origin is the host.
	KindHost Kind = "host"
	// KindEndpoint is the state of the endpoint named by Subject. Its origin is the owner.
	KindEndpoint Kind = "endpoint"
	// KindFingerprint is what the origin knows of the crashes of the fingerprint named by Subject.
	KindFingerprint Kind = "fingerprint"
)

// States of hosts, endpoints and fingerprints.
const (
	StateLeaving   = "leaving"
	StateServing   = "serving"
	StateCold      = "cold"
	StateDown      = "down"
	StateSuspected = "suspected"
	StateCleared   = "cleared"
)

// Item is one piece of news. The names on the wire are short because items make up most of the exchange.
type Item struct {
	Kind    Kind   `json:"k"`
	Subject string `json:"s"`
	// Origin is the host that published the item. Items of different origins on a subject stand side by side.
	Origin      string          `json:"o"`
	Incarnation uint64          `json:"i"`
	Sequence    uint64          `json:"n"`
	State       string          `json:"t"`
	Data        json.RawMessage `json:"d,omitempty"`
	// AgeMS is the time since the item was published, added up over the nodes it passed, without the time in transit.
	AgeMS int64 `json:"a,omitempty"`
}

// key is what a newer item replaces.
type key struct {
	kind    Kind
	subject string
	origin  string
}

func (i *Item) key() key {
	return key{kind: i.Kind, subject: i.Subject, origin: i.Origin}
}

// newer reports whether an item replaces another one with the same key.
func (i *Item) newer(other *Item) bool {
	if i.Incarnation != other.Incarnation {
		return i.Incarnation > other.Incarnation
	}
	return i.Sequence > other.Sequence
}

const (
	// maxNameBytes and maxDataBytes are the lengths of the longest name and the longest data of an item that is taken.
	maxNameBytes = 256
	maxDataBytes = 8 << 10
	// baseBytes is the memory of an item without its texts.
	baseBytes = 256
)

// tooLong reports whether a text of the item is longer than nodes send it.
func (i *Item) tooLong() bool {
	return max(len(i.Kind), len(i.Subject), len(i.Origin), len(i.State)) > maxNameBytes || len(i.Data) > maxDataBytes
}

// size returns the memory that the item takes.
func (i *Item) size() int64 {
	return int64(baseBytes + len(i.Kind) + len(i.Subject) + len(i.Origin) + len(i.State) + len(i.Data))
}

func (i *Item) age() time.Duration {
	return time.Duration(i.AgeMS) * time.Millisecond
}
