// Package configstate decides which version of the configuration a node puts in force. It is pure decision logic: no
// I/O, no clock, no goroutines. Its types are not safe for concurrent use.
package configstate

// Verdict is the decision on an offered version.
type Verdict int

const (
	// Adopt means that the offered version is higher than the one in force and replaces it.
	Adopt Verdict = iota + 1
	// Same means that the offered version is in force already.
	Same
	// Older means that the offered version is lower than the one in force and is rejected.
	Older
	// Conflict means that the offered document has the version in force but another digest. Two operators published
	// different documents under one version. The document in force stays.
	Conflict
)

// String returns the verdict as it appears in log lines.
func (v Verdict) String() string {
	switch v {
	case Adopt:
		return "adopt"
	case Same:
		return "same"
	case Older:
		return "older"
	case Conflict:
		return "conflict"
	default:
		return "none"
	}
}

// Mark identifies a document by its version and digest.
type Mark struct {
	Version Version `json:"version"`
	Digest  string  `json:"digest"`
}

// Judge decides on an offered document, given the one in force. The decision does not depend on the source of the
// offer: the configuration service may be stale as well as any peer.
func Judge(inForce, offered Mark) Verdict {
	switch offered.Version.Compare(inForce.Version) {
	case 1:
		return Adopt
	case -1:
		return Older
	}
	if offered.Digest == inForce.Digest {
		return Same
	}
	return Conflict
}
