package config

import (
	"fmt"
	"strings"
)

// FieldError describes one invalid field of a document.
type FieldError struct {
	// Path names the field, such as services[2].endpoints[0].slots.
	Path string
	// Value is the rejected value as text. It is empty if there is none to show, as for a missing, unknown or repeated
	// field.
	Value string
	// Reason says why the value is rejected.
	Reason string
	// Valid says which values are accepted. It may be empty.
	Valid string
}

// Error returns the error on one line.
func (e FieldError) Error() string {
	var b strings.Builder
	b.WriteString(e.Path)
	b.WriteString(": ")
	if e.Value != "" {
		b.WriteString(e.Value)
		b.WriteByte(' ')
	}
	b.WriteString(e.Reason)
	if e.Valid != "" {
		b.WriteString("; valid: ")
		b.WriteString(e.Valid)
	}
	return b.String()
}

// InvalidError lists all invalid fields of a document in document order.
type InvalidError struct {
	Fields []FieldError
}

// Error returns one line per invalid field.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Fields)+1)
	lines = append(lines, fmt.Sprintf("document is invalid: %d error(s)", len(e.Fields)))
	for _, field := range e.Fields {
		lines = append(lines, field.Error())
	}
	return strings.Join(lines, "\n")
}

// Has reports whether the field with the given path is among the errors.
func (e *InvalidError) Has(path string) bool {
	for _, field := range e.Fields {
		if field.Path == path {
			return true
		}
	}
	return false
}

// path locates a field. It is formatted only when an error is reported, so that checking a valid document allocates no
// strings.
type path struct {
	parent *path
	name   string
	index  int
}

// noIndex marks a path element that is not an element of a list.
const noIndex = -1

func root(name string) path {
	return path{name: name, index: noIndex}
}

func (p *path) field(name string) path {
	return path{parent: p, name: name, index: noIndex}
}

func (p *path) at(index int) path {
	return path{parent: p, index: index}
}

func (p *path) String() string {
	if p == nil {
		return ""
	}
	if p.index != noIndex {
		return fmt.Sprintf("%s[%d]", p.parent.String(), p.index)
	}
	prefix := p.parent.String()
	if prefix == "" {
		return p.name
	}
	return prefix + "." + p.name
}
