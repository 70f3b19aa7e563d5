package ingress

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/relay"
)

// request is a caller's request that passed the checks of accept.
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

// fingerprintBytes is the length of a fingerprint before hex encoding.
const fingerprintBytes = 12

// fingerprint returns a hash of the method, the URI and the beginning of the body. Requests with the same fingerprint are
// assumed to have the same effect on a backend server, such as a crash.
func fingerprint(head *protocol.Request, bodyPrefix []byte) string {
	h := sha256.New()
	h.Write(head.Header.Method())
	h.Write([]byte{' '})
	h.Write(head.Header.RequestURI())
	h.Write([]byte{'\n'})
	h.Write(bodyPrefix)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
