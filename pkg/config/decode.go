package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Decode reads a document. It rejects unknown and repeated fields, field names in another case, values of the wrong
// type and trailing data, and names the path of each. It does not check the content; Validate does.
func Decode(data []byte) (*Document, error) {
	document, err := decodeDocument(data)
	if err != nil {
		return nil, err
	}
	if err := checkFields(data, reflect.TypeFor[Document]()); err != nil {
		return nil, err
	}
	return document, nil
}

// decodeDocument decodes without the check for repeated fields and field names in another case, which encoding/json
// accepts.
func decodeDocument(data []byte) (*Document, error) {
	reader := documentReader{decoder: json.NewDecoder(bytes.NewReader(data)), intern: make(interner)}
	reader.decoder.DisallowUnknownFields()
	document, err := reader.read()
	if err == nil {
		return document, nil
	}
	// The errors of encoding/json name no list indexes, so checkFields looks for errors with exact paths first.
	if fieldErr := checkFields(data, reflect.TypeFor[Document]()); fieldErr != nil {
		return nil, fieldErr
	}
	return nil, fmt.Errorf("decode document at offset %d: %w", reader.decoder.InputOffset(), err)
}

// documentReader decodes a document entry by entry. Decoding it as one value would buffer a second copy of the text.
type documentReader struct {
	decoder *json.Decoder
	intern  interner
}

func (r *documentReader) read() (*Document, error) {
	document := new(Document)
	if err := r.expect(json.Delim('{')); err != nil {
		return nil, err
	}
	for r.decoder.More() {
		name, err := r.decoder.Token()
		if err != nil {
			return nil, err
		}
		if err := r.member(document, name); err != nil {
			return nil, err
		}
	}
	if err := r.expect(json.Delim('}')); err != nil {
		return nil, err
	}
	if _, err := r.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("data after the end of the document")
	}
	return document, nil
}

func (r *documentReader) member(document *Document, name json.Token) error {
	switch name {
	case "format":
		return r.decoder.Decode(&document.Format)
	case "version":
		return r.decoder.Decode(&document.Version)
	case "hosts":
		return readList(r, &document.Hosts, r.internHost)
	case "services":
		return readList(r, &document.Services, r.internService)
	case "routes":
		return readList(r, &document.Routes, r.internRoute)
	case "workspaces":
		return readList(r, &document.Workspaces, func(*Workspace) {})
	default:
		return fmt.Errorf("unknown field %v", name)
	}
}

func (r *documentReader) expect(want json.Delim) error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	if token != want {
		return fmt.Errorf("expected %v, found %v", want, token)
	}
	return nil
}

// readList decodes a list and calls visit with each entry before it is added.
func readList[T any](r *documentReader, list *[]T, visit func(*T)) error {
	token, err := r.decoder.Token()
	if err != nil || token == nil {
		return err
	}
	if token != json.Delim('[') {
		return errors.New("expected a list")
	}
	*list = []T{}
	for r.decoder.More() {
		var entry T
		if err := r.decoder.Decode(&entry); err != nil {
			return err
		}
		visit(&entry)
		*list = append(*list, entry)
	}
	*list = slices.Clip(*list)
	return r.expect(json.Delim(']'))
}

// interner replaces equal strings by one copy. References to hosts, zones and services repeat many times.
type interner map[string]string

func (n interner) string(text *string) {
	if known, ok := n[*text]; ok {
		*text = known
		return
	}
	n[*text] = *text
}

func (r *documentReader) internHost(host *Host) {
	r.intern.string(&host.ID)
	r.intern.string(&host.Zone)
	r.intern.string(&host.Region)
}

func (r *documentReader) internService(service *Service) {
	r.intern.string(&service.Name)
	service.Endpoints = slices.Clip(service.Endpoints)
	for i := range service.Endpoints {
		r.intern.string(&service.Endpoints[i].Host)
	}
	for i := range service.Claims.Recorders {
		r.intern.string(&service.Claims.Recorders[i])
	}
	for i := range service.Claims.Previous {
		r.intern.string(&service.Claims.Previous[i])
	}
}

func (r *documentReader) internRoute(route *Route) {
	r.intern.string(&route.Service)
	route.Methods = slices.Clip(route.Methods)
	for i := range route.Methods {
		r.intern.string(&route.Methods[i])
	}
}

// checkFields compares the fields in data with those of a type and reports each difference with its path.
func checkFields(data []byte, want reflect.Type) error {
	w := walker{decoder: json.NewDecoder(bytes.NewReader(data))}
	w.decoder.UseNumber()
	if err := w.value(want, nil); err != nil {
		return fmt.Errorf("decode document at offset %d: %w", w.decoder.InputOffset(), err)
	}
	if len(w.fields) > 0 {
		return &InvalidError{Fields: w.fields}
	}
	return nil
}

// walker reads a JSON text token by token and compares its fields and types with those of a Go type.
type walker struct {
	decoder *json.Decoder
	fields  []FieldError
}

func (w *walker) value(want reflect.Type, at *path) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	if delim, ok := token.(json.Delim); ok {
		return w.composite(delim, want, at)
	}
	if want != nil {
		w.scalar(token, want, at)
	}
	return nil
}

func (w *walker) composite(delim json.Delim, want reflect.Type, at *path) error {
	if delim == '{' {
		if want != nil && want.Kind() != reflect.Struct {
			w.report(at, "an object", "has the wrong type", typeName(want))
			want = nil
		}
		return w.object(want, at)
	}
	if want != nil && want.Kind() != reflect.Slice {
		w.report(at, "a list", "has the wrong type", typeName(want))
		want = nil
	}
	return w.list(want, at)
}

// object reads the members of an object. A nil type skips them.
func (w *walker) object(want reflect.Type, at *path) error {
	seen := make(map[string]bool)
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		p := at.field(name)
		var member reflect.Type
		if want != nil {
			member = w.member(want, name, &p, seen)
		}
		if err := w.value(member, &p); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

// member checks the name of a member and returns its type, or nil if the struct has no such field.
func (w *walker) member(want reflect.Type, name string, at *path, seen map[string]bool) reflect.Type {
	if seen[name] {
		w.report(at, "", "is given more than once", "")
	}
	seen[name] = true
	for field := range want.Fields() {
		tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if tag == name {
			return field.Type
		}
	}
	w.report(at, "", "is not a known field", strings.Join(fieldNames(want), ", "))
	return nil
}

// list reads the elements of a list. A nil type skips them.
func (w *walker) list(want reflect.Type, at *path) error {
	var element reflect.Type
	if want != nil {
		element = want.Elem()
	}
	for i := 0; w.decoder.More(); i++ {
		p := at.at(i)
		if err := w.value(element, &p); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

func (w *walker) scalar(token json.Token, want reflect.Type, at *path) {
	ok := false
	switch value := token.(type) {
	case nil:
		ok = want.Kind() == reflect.Slice
	case string:
		ok = want.Kind() == reflect.String
	case bool:
		ok = want.Kind() == reflect.Bool
	case json.Number:
		ok = numberFits(value, want)
	}
	if !ok {
		w.report(at, scalarText(token), "has the wrong type", typeName(want))
	}
}

func (w *walker) report(at *path, value, reason, valid string) {
	name := at.String()
	if name == "" {
		name = "document"
	}
	w.fields = append(w.fields, FieldError{Path: name, Value: value, Reason: reason, Valid: valid})
}

// numberFits reports whether a number can be decoded into a type.
func numberFits(number json.Number, want reflect.Type) bool {
	var err error
	switch want.Kind() {
	case reflect.Int, reflect.Int64:
		_, err = strconv.ParseInt(number.String(), 10, 64)
	case reflect.Uint64:
		_, err = strconv.ParseUint(number.String(), 10, 64)
	case reflect.Float64:
		var value float64
		value, err = number.Float64()
		if math.IsInf(value, 0) {
			return false
		}
	default:
		return false
	}
	return err == nil
}

func scalarText(token json.Token) string {
	switch value := token.(type) {
	case nil:
		return "null"
	case string:
		return strconv.Quote(value)
	default:
		return fmt.Sprint(value)
	}
}

func typeName(want reflect.Type) string {
	switch want.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number of 0 or more"
	default:
		return "a whole number"
	}
}

func fieldNames(want reflect.Type) []string {
	var names []string
	for field := range want.Fields() {
		tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		names = append(names, tag)
	}
	return names
}
