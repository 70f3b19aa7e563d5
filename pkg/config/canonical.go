package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"reflect"
	"slices"
)

// Normalize returns a document with the same content in canonical order: hosts, endpoints, routes and workspaces by
// id, services by name. The argument is not changed; entries that are already in order are shared with it.
func Normalize(document *Document) *Document {
	n := *document
	n.Hosts = sorted(document.Hosts, hostID)
	n.Services = sorted(document.Services, serviceName)
	n.Routes = sorted(document.Routes, routeID)
	n.Workspaces = sorted(document.Workspaces, workspaceID)
	n.Services = normalizeServices(n.Services)
	n.Hosts = orEmpty(n.Hosts)
	n.Services = orEmpty(n.Services)
	n.Routes = orEmpty(n.Routes)
	if len(n.Workspaces) == 0 {
		n.Workspaces = nil
	}
	return &n
}

// Canonical returns the canonical JSON of a document: entries in canonical order, fields in the order of their
// declaration, no white space, default settings left out.
func Canonical(document *Document) ([]byte, error) {
	var buffer bytes.Buffer
	if err := WriteCanonical(&buffer, document); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// WriteCanonical writes the canonical JSON entry by entry, so that a caller that holds the text of a large document
// already needs no second copy of it.
func WriteCanonical(w io.Writer, document *Document) error {
	n := Normalize(document)
	e := newEncoder(w)
	e.raw(`{"format":`)
	e.json(n.Format)
	e.raw(`,"version":`)
	e.json(n.Version)
	e.raw(`,"hosts":`)
	encodeList(e, n.Hosts, e.host)
	e.raw(`,"services":`)
	encodeList(e, n.Services, e.service)
	e.raw(`,"routes":`)
	encodeList(e, n.Routes, e.route)
	if len(n.Workspaces) > 0 {
		e.raw(`,"workspaces":`)
		encodeList(e, n.Workspaces, e.workspace)
	}
	e.raw(`}`)
	if err := e.flush(); err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	return nil
}

// Digest returns the SHA-256 digest of the canonical JSON of a document in hexadecimal.
func Digest(document *Document) (string, error) {
	sum := newDigestWriter()
	if err := WriteCanonical(sum, document); err != nil {
		return "", err
	}
	return sum.digest(), nil
}

// DigestBytes returns the SHA-256 digest of data in hexadecimal.
func DigestBytes(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Parse decodes, validates and indexes a document.
func Parse(data []byte) (*Snapshot, error) {
	document, err := decodeDocument(data)
	if err != nil {
		return nil, err
	}
	// Validate precedes Normalize so that the list indexes in its errors are those of the input.
	if err := Validate(document); err != nil {
		return nil, err
	}
	document = Normalize(document)
	sum := newDigestWriter()
	comparison := &compareWriter{want: data}
	if err := WriteCanonical(io.MultiWriter(sum, comparison), document); err != nil {
		return nil, err
	}
	// An input that equals its canonical encoding has no repeated or misspelled field. Only other inputs need
	// checkFields, which takes as long as decoding.
	if !comparison.equal() {
		if err := checkFields(data, reflect.TypeFor[Document]()); err != nil {
			return nil, err
		}
	}
	return newSizedSnapshot(document, sum), nil
}

// FromDocument checks and indexes a document that is already decoded. The document must not be changed afterwards.
func FromDocument(document *Document) (*Snapshot, error) {
	if err := Validate(document); err != nil {
		return nil, err
	}
	document = Normalize(document)
	sum := newDigestWriter()
	if err := WriteCanonical(sum, document); err != nil {
		return nil, err
	}
	return newSizedSnapshot(document, sum), nil
}

func newSizedSnapshot(document *Document, sum *digestWriter) *Snapshot {
	snapshot := NewSnapshot(document, sum.digest())
	snapshot.size = sum.size
	return snapshot
}

// digestWriter is a writer that computes the digest and the size of what is written.
type digestWriter struct {
	hash hash.Hash
	size int
}

func newDigestWriter() *digestWriter {
	return &digestWriter{hash: sha256.New()}
}

func (s *digestWriter) Write(data []byte) (int, error) {
	s.size += len(data)
	return s.hash.Write(data)
}

func (s *digestWriter) digest() string {
	return hex.EncodeToString(s.hash.Sum(nil))
}

// sorted returns the entries in the order of their keys, without a copy if they are in order already.
func sorted[T any](entries []T, key func(*T) string) []T {
	if increasing(entries, key, true) {
		return entries
	}
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, func(a, b T) int { return cmp.Compare(key(&a), key(&b)) })
	return entries
}

// increasing reports whether the keys increase. It passes pointers into the list to key, because a copy of each compared
// entry would be allocated on the heap.
func increasing[T any](entries []T, key func(*T) string, allowEqual bool) bool {
	for i := 1; i < len(entries); i++ {
		order := cmp.Compare(key(&entries[i-1]), key(&entries[i]))
		if order > 0 || order == 0 && !allowEqual {
			return false
		}
	}
	return true
}

// orEmpty replaces an absent list by an empty one, which is encoded as [] and not as null.
func orEmpty[T any](entries []T) []T {
	if entries == nil {
		return []T{}
	}
	return entries
}

// normalizeServices orders the endpoints of each service and sets empty lists of recorders to nil, so that a settings
// group without values is omitted from the encoding. It copies the list of services only if one of them changes.
func normalizeServices(services []Service) []Service {
	copied := false
	for i := range services {
		if isNormal(&services[i]) {
			continue
		}
		if !copied {
			services = slices.Clone(services)
			copied = true
		}
		normalizeService(&services[i])
	}
	return services
}

// isNormal reports whether normalizeService would leave the service as it is.
func isNormal(service *Service) bool {
	emptyGroup := service.Claims.Recorders != nil && len(service.Claims.Recorders) == 0 ||
		service.Claims.Previous != nil && len(service.Claims.Previous) == 0
	return !emptyGroup && service.Endpoints != nil && increasing(service.Endpoints, endpointID, true)
}

func normalizeService(service *Service) {
	if len(service.Claims.Recorders) == 0 {
		service.Claims.Recorders = nil
	}
	if len(service.Claims.Previous) == 0 {
		service.Claims.Previous = nil
	}
	service.Endpoints = orEmpty(sorted(service.Endpoints, endpointID))
}

func hostID(host *Host) string                { return host.ID }
func serviceName(service *Service) string     { return service.Name }
func endpointID(endpoint *Endpoint) string    { return endpoint.ID }
func routeID(route *Route) string             { return route.ID }
func workspaceID(workspace *Workspace) string { return workspace.ID }

// compareWriter is a writer that compares what is written with an expected text.
type compareWriter struct {
	// want is the part of the expected text that has not been written yet.
	want   []byte
	differ bool
}

func (c *compareWriter) Write(data []byte) (int, error) {
	if !bytes.HasPrefix(c.want, data) {
		c.differ = true
		c.want = nil
		return len(data), nil
	}
	c.want = c.want[len(data):]
	return len(data), nil
}

// equal reports whether the whole expected text was written, except for white space at its end.
func (c *compareWriter) equal() bool {
	return !c.differ && len(bytes.TrimSpace(c.want)) == 0
}
