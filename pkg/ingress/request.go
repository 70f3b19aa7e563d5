package ingress

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/relay"
)

// request is a caller's request that passed the checks.
type request struct {
	id          string
	key         string
	fingerprint string
	route       *config.Route
	service     *config.Service
	head        *protocol.Request
	body        *relay.Body
	arrived     time.Time
	deadline    time.Time
	long        bool
}

// attemptIDs makes identifiers that are unique in the fleet: a random prefix per process and a counter.
type attemptIDs struct {
	prefix string
	next   atomic.Uint64
}

const attemptPrefixBytes = 9

func newAttemptIDs() *attemptIDs {
	b := make([]byte, attemptPrefixBytes)
	_, _ = rand.Read(b)
	return &attemptIDs{prefix: hex.EncodeToString(b)}
}

func (a *attemptIDs) get() string {
	return a.prefix + "-" + strconv.FormatUint(a.next.Add(1), 36)
}

const maxRequestIDLength = 64

// validRequestID reports whether an identifier given by the caller is safe to log and to pass on.
func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDLength {
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

const fingerprintBytes = 12

// fingerprint identifies requests that make a backend server do the same work.
func fingerprint(head *protocol.Request, bodyPrefix []byte) string {
	h := sha256.New()
	h.Write(head.Header.Method())
	h.Write([]byte{' '})
	h.Write(head.Header.RequestURI())
	h.Write([]byte{'\n'})
	h.Write(bodyPrefix)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
