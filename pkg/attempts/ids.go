package attempts

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// IDs generates identifiers that are unique in the fleet: a random prefix per process and a counter. It is safe for
// concurrent use.
type IDs struct {
	prefix string
	next   atomic.Uint64
}

const prefixBytes = 9

// NewIDs returns a generator with a new random prefix.
func NewIDs() *IDs {
	b := make([]byte, prefixBytes)
	_, _ = rand.Read(b)
	return &IDs{prefix: hex.EncodeToString(b)}
}

// Next returns a new identifier.
func (a *IDs) Next() string {
	return a.prefix + "-" + strconv.FormatUint(a.next.Add(1), 36)
}

const maxIDLength = 64

// ValidID reports whether an identifier given by the caller is safe to log and to pass on.
func ValidID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for _, b := range []byte(id) {
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		digit := b >= '0' && b <= '9'
		if !letter && !digit && b != '-' && b != '_' && b != '.' {
			return false
		}
	}
	return true
}
