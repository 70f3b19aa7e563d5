package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
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
	n.Hosts = sorted(document.Hosts, func(h *Host) string { return h.ID })
	n.Services = sorted(document.Services, func(s *Service) string { return s.Name })
	n.Routes = sorted(document.Routes, func(r *Route) string { return r.ID })
	n.Workspaces = sorted(document.Workspaces, func(w *Workspace) string { return w.ID })
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

// WriteCanonical writes the canonical JSON entry by entry, so that a large document is never held twice as text.
func WriteCanonical(w io.Writer, document *Document) error {
	n := Normalize(document)
	e := newEncoder(w)
	e.raw(`{"format":`)
	e.json(n.Format)
	e.raw(`,"version":`)
	e.json(n.Version)
	e.raw(`,"hosts":`)
	encodeList(e, n.Hosts)
	e.raw(`,"services":`)
	encodeList(e, n.Services)
	e.raw(`,"routes":`)
	encodeList(e, n.Routes)
	if len(n.Workspaces) > 0 {
		e.raw(`,"workspaces":`)
		encodeList(e, n.Workspaces)
	}
	e.raw(`}`)
	if err := e.flush(); err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	return nil
}

// Digest returns the SHA-256 digest of the canonical JSON of a document in hexadecimal.
func Digest(document *Document) (string, error) {
	sum := sha256.New()
	if err := WriteCanonical(sum, document); err != nil {
		return "", err
	}
	return digestText(sum), nil
}

// DigestBytes returns the SHA-256 digest of data in hexadecimal.
func DigestBytes(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Parse decodes, checks and indexes a document.
func Parse(data []byte) (*Snapshot, error) {
	document, err := decodeDocument(data)
	if err != nil {
		return nil, err
	}
	// Validation precedes the ordering so that the indexes in its errors are those of the text.
	if err := Validate(document); err != nil {
		return nil, err
	}
	document = Normalize(document)
	sum := sha256.New()
	same := &comparer{want: data}
	if err := WriteCanonical(io.MultiWriter(sum, same), document); err != nil {
		return nil, err
	}
	// A text that equals its canonical encoding has no repeated or misspelled field. Only other texts need the walk,
	// which costs as much as decoding.
	if !same.equal() {
		if err := checkFields(data, reflect.TypeFor[Document]()); err != nil {
			return nil, err
		}
	}
	return NewSnapshot(document, digestText(sum)), nil
}

// Load checks and indexes a document that is already decoded. The document must not be changed afterwards.
func Load(document *Document) (*Snapshot, error) {
	if err := Validate(document); err != nil {
		return nil, err
	}
	document = Normalize(document)
	digest, err := Digest(document)
	if err != nil {
		return nil, err
	}
	return NewSnapshot(document, digest), nil
}

func digestText(sum hash.Hash) string {
	return hex.EncodeToString(sum.Sum(nil))
}

func sorted[T any](entries []T, key func(*T) string) []T {
	order := func(a, b T) int { return cmp.Compare(key(&a), key(&b)) }
	if slices.IsSortedFunc(entries, order) {
		return entries
	}
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, order)
	return entries
}

// orEmpty replaces an absent list by an empty one, which is encoded as [] and not as null.
func orEmpty[T any](entries []T) []T {
	if entries == nil {
		return []T{}
	}
	return entries
}

// normalizeServices orders the endpoints of each service and replaces empty lists by absent ones, so that the zero
// settings groups are left out of the encoding.
func normalizeServices(services []Service) []Service {
	copied := false
	for i := range services {
		service := services[i]
		if !normalizeService(&service) {
			continue
		}
		if !copied {
			services = slices.Clone(services)
			copied = true
		}
		services[i] = service
	}
	return services
}

func normalizeService(service *Service) (changed bool) {
	if service.Claims.Recorders != nil && len(service.Claims.Recorders) == 0 {
		service.Claims.Recorders = nil
		changed = true
	}
	if service.Claims.Previous != nil && len(service.Claims.Previous) == 0 {
		service.Claims.Previous = nil
		changed = true
	}
	byID := func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) }
	if !slices.IsSortedFunc(service.Endpoints, byID) {
		service.Endpoints = sorted(service.Endpoints, func(e *Endpoint) string { return e.ID })
		changed = true
	}
	if service.Endpoints == nil {
		service.Endpoints = orEmpty(service.Endpoints)
		changed = true
	}
	return changed
}

// encoder writes JSON values to a writer and keeps the first error.
type encoder struct {
	w       io.Writer
	buffer  bytes.Buffer
	encoder *json.Encoder
	err     error
}

// flushSize is the amount of buffered text at which it is passed to the writer.
const flushSize = 32 << 10

func newEncoder(w io.Writer) *encoder {
	e := &encoder{w: w}
	e.encoder = json.NewEncoder(&e.buffer)
	e.encoder.SetEscapeHTML(false)
	return e
}

func (e *encoder) raw(text string) {
	e.buffer.WriteString(text)
}

func (e *encoder) json(value any) {
	if e.err != nil {
		return
	}
	if e.err = e.encoder.Encode(value); e.err != nil {
		return
	}
	// Encode ends each value with a line feed.
	e.buffer.Truncate(e.buffer.Len() - 1)
	if e.buffer.Len() >= flushSize {
		e.err = e.flush()
	}
}

func (e *encoder) flush() error {
	if e.err == nil {
		_, e.err = e.w.Write(e.buffer.Bytes())
	}
	e.buffer.Reset()
	return e.err
}

func encodeList[T any](e *encoder, entries []T) {
	e.raw("[")
	for i := range entries {
		if i > 0 {
			e.raw(",")
		}
		e.json(&entries[i])
	}
	e.raw("]")
}

// comparer is a writer that compares what is written with a text.
type comparer struct {
	want   []byte
	differ bool
}

func (c *comparer) Write(data []byte) (int, error) {
	if !bytes.HasPrefix(c.want, data) {
		c.differ = true
		c.want = nil
		return len(data), nil
	}
	c.want = c.want[len(data):]
	return len(data), nil
}

func (c *comparer) equal() bool {
	return !c.differ && len(bytes.TrimSpace(c.want)) == 0
}
