package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// fingerprintBytes is the length of a fingerprint before hex encoding.
	fingerprintBytes = 12
	// identityBodyBytes is the length of the beginning of a body by which a request is recognized. The rest of a longer body
	// may arrive while the request is already sent.
	identityBodyBytes = 64 << 10
)

// Identity is what a request has in common with its copies when a caller sends it again. Ids and other header fields differ
// from copy to copy and are no part of it.
type Identity struct {
	Service string
	// Caller is the service that sent the request, or empty if it is not known.
	Caller string
	Method string
	// URI is the path with the query.
	URI string
	// Body is the body or its beginning.
	Body []byte
}

// Fingerprint returns a hash of the identity. Requests with the same fingerprint are assumed to have the same effect on a
// backend server, such as a crash.
func (i *Identity) Fingerprint() string {
	h := sha256.New()
	var length [4]byte
	for _, part := range []string{i.Service, i.Caller, i.Method, i.URI} {
		// The length keeps different identities from being hashed as the same text. Hash.Write returns no error.
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(i.Body[:min(len(i.Body), identityBodyBytes)])
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
