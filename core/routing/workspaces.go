package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

const (
	// maxKeys is the largest number of keys of one workspace, maxRate the highest limit in requests per second and requests, and
	// maxPriority the lowest priority.
	maxKeys     = 1000
	maxRate     = 1e7
	maxPriority = 1000
)

// KeyDigest identifies a key of a workspace without revealing it. Keys are compared by their digests, so the time that a lookup
// takes says nothing about the keys in force.
type KeyDigest [16]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:len(KeyDigest{})])
}

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("key digest has %d characters", len(text))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Workspace is a customer of the fleet's services, whose requests carry one of its keys.
type Workspace struct {
	Name string      `json:"name"`
	Keys []KeyDigest `json:"keys"`
	// Priority, if not nil, replaces that of the routes.
	Priority *int `json:"priority,omitempty"`
	// Rate is the number of requests per second that the workspace may send to all nodes together, and Burst the number beyond it
	// at once. A rate of 0 is no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// Limited reports whether the workspace has a limit on its requests.
func (w *Workspace) Limited() bool {
	return w.Rate > 0
}

// validateWorkspaces checks all workspaces. Problems name keys by their position only.
func (c *Config) validateWorkspaces(report func(ok bool, format string, args ...any)) {
	names := make(map[string]bool, len(c.Workspaces))
	holders := make(map[KeyDigest]string)
	for n := range c.Workspaces {
		w, path := &c.Workspaces[n], fmt.Sprintf("workspaces[%d]", n)
		report(w.Name != "", "%s.name: is missing", path)
		report(!names[w.Name], "%s.name: %q occurs twice", path, w.Name)
		names[w.Name] = true
		report(len(w.Keys) <= maxKeys, "%s.keys: has %d keys, at most %d are allowed", path, len(w.Keys), maxKeys)
		report(w.Priority == nil || (*w.Priority >= 0 && *w.Priority <= maxPriority), "%s.priority: must be from 0 to %d", path, maxPriority)
		report(w.Rate >= 0 && w.Rate <= maxRate, "%s.rate: %v is not from 0 to %v", path, w.Rate, maxRate)
		report(w.Burst >= 0 && w.Burst <= maxRate, "%s.burst: %v is not from 0 to %v", path, w.Burst, maxRate)
		for m, key := range w.Keys {
			holder, held := holders[key]
			report(!held, "%s.keys[%d]: is also held by %s", path, m, holder)
			holders[key] = path
		}
	}
}
