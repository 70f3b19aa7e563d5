package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
)

// ParseNext does the same as Parse, but decodes only the entries that differ from those of a base, which may be nil, and
// shares the others with it. Successive versions differ in few entries, and decoding all of a large document takes most
// of the time of Parse.
func ParseNext(base *Snapshot, data []byte) (*Snapshot, error) {
	if base == nil {
		return Parse(data)
	}
	document, err := readReusing(base.document, data)
	if err != nil || Validate(document) != nil {
		// Parse reports what is wrong, or reads a text that is not canonical.
		return Parse(data)
	}
	// If the canonical encoding of the document equals the input, the document equals what Parse would return, although
	// some entries were taken from the base without decoding.
	sum := newDigestWriter()
	comparison := &compareWriter{want: data}
	if err := WriteCanonical(io.MultiWriter(sum, comparison), document); err != nil {
		return nil, err
	}
	if !comparison.equal() {
		return Parse(data)
	}
	return newSizedSnapshot(document, sum), nil
}

// errNotCanonical is returned for a text that is not laid out like canonical JSON.
var errNotCanonical = errors.New("text is not canonical")

// canonicalReader reads canonical JSON. It uses encoder to compare entries of the base with the text, and intern only to
// share equal strings.
type canonicalReader struct {
	rest    []byte
	encoder *encoder
	intern  documentReader
}

func readReusing(base *Document, data []byte) (*Document, error) {
	r := &canonicalReader{rest: data, encoder: newEncoder(io.Discard), intern: documentReader{intern: make(interner)}}
	r.encoder.flushAt = math.MaxInt
	document := new(Document)
	var err error
	if err = r.member(`{"format":`, &document.Format); err != nil {
		return nil, err
	}
	if err = r.member(`,"version":`, &document.Version); err != nil {
		return nil, err
	}
	if document.Hosts, err = reuse(r, `,"hosts":`, base.Hosts, hostID, r.encoder.host, r.intern.internHost); err != nil {
		return nil, err
	}
	document.Services, err = reuse(r, `,"services":`, base.Services, serviceName, r.encoder.service, r.intern.internService)
	if err != nil {
		return nil, err
	}
	document.Routes, err = reuse(r, `,"routes":`, base.Routes, routeID, r.encoder.route, r.intern.internRoute)
	if err != nil {
		return nil, err
	}
	if bytes.HasPrefix(r.rest, []byte(`,"workspaces":`)) {
		document.Workspaces, err = reuse(r, `,"workspaces":`, base.Workspaces, workspaceID, r.encoder.workspace,
			func(*Workspace) {})
	}
	return document, err
}

// member reads a member of the document.
func (r *canonicalReader) member(name string, target any) error {
	if !r.consume(name) {
		return errNotCanonical
	}
	raw := r.value()
	if raw == nil {
		return errNotCanonical
	}
	return json.Unmarshal(raw, target)
}

// consume removes a text from the start of the rest and reports whether it was there.
func (r *canonicalReader) consume(text string) bool {
	rest, found := bytes.CutPrefix(r.rest, []byte(text))
	r.rest = rest
	return found
}

// value removes and returns one object or string. It returns nil if the text ends before the value does.
func (r *canonicalReader) value() []byte {
	depth := 0
	for i := 0; i < len(r.rest); i++ {
		switch r.rest[i] {
		case '"':
			length := stringLength(r.rest[i:])
			if length == 0 {
				return nil
			}
			i += length - 1
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth <= 0 {
			value := r.rest[:i+1]
			r.rest = r.rest[i+1:]
			return value
		}
	}
	return nil
}

// stringLength returns the length of the JSON string at the start of text, or zero if it does not end.
func stringLength(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}

// reuse reads a list. It takes the next old entry if its encoding equals the text, and otherwise decodes the text. Both
// lists are ordered by id: after it has decoded an entry, reuse skips the old entries up to the id of that entry.
func reuse[T any](r *canonicalReader, name string, old []T, id func(*T) string, encode, intern func(*T)) ([]T, error) {
	if !r.consume(name + "[") {
		return nil, errNotCanonical
	}
	list := make([]T, 0, len(old))
	for !r.consume("]") {
		if len(list) > 0 && !r.consume(",") {
			return nil, errNotCanonical
		}
		raw := r.value()
		if raw == nil {
			return nil, errNotCanonical
		}
		if len(old) > 0 && r.encodesTo(raw, func() { encode(&old[0]) }) {
			list = append(list, old[0])
			old = old[1:]
			continue
		}
		var entry T
		if err := json.Unmarshal(raw, &entry); err != nil {
			return nil, err
		}
		intern(&entry)
		list = append(list, entry)
		for len(old) > 0 && id(&old[0]) <= id(&entry) {
			old = old[1:]
		}
	}
	return list, nil
}

// encodesTo reports whether encode writes the given text.
func (r *canonicalReader) encodesTo(raw []byte, encode func()) bool {
	r.encoder.buffer.Reset()
	encode()
	return r.encoder.err == nil && bytes.Equal(r.encoder.buffer.Bytes(), raw)
}
