package reports

import (
	"bytes"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/retrybudget"
)

// Endpoint is an owner's report on its endpoint. It travels in datagrams as an array and in a header of the inner hop as
// JSON, whose short names keep it small.
type Endpoint struct {
	ID string `json:"i"`
	// FailPerMille is the probability that the endpoint is failing, in thousandths.
	FailPerMille int `json:"f"`
	Busy         int `json:"b,omitempty"`
	Queued       int `json:"q,omitempty"`
	Slots        int `json:"s"`
	// ServiceTimeMS is the mean time for a request, in milliseconds, or 0 if it is not known.
	ServiceTimeMS int `json:"m,omitempty"`
	// OutcomeAgeMS is the time since the latest outcome of a request, in milliseconds, or negative if there was none.
	OutcomeAgeMS int `json:"o"`
}

// Repeats is what a node counted for a service in the latest window of the retry budget.
type Repeats struct {
	Service  string
	Requests int
	Repeats  int
}

// Report is what one node tells another. The sender's host is that of the datagram.
type Report struct {
	Zone        string
	Incarnation uint64
	// Sequence counts the reports to this receiver.
	Sequence uint64
	Leaving  bool
	// ConfigVersion, Revision and Digest are the sender's picture of the fleet, and StoreMS the time since the store
	// last answered it or another node that it has heard of, in milliseconds, or negative.
	ConfigVersion uint64
	Revision      uint64
	Digest        uint64
	StoreMS       int `json:"a"`
	// HeardMS is the time since the sender last heard the receiver, in milliseconds, or negative.
	HeardMS   int
	Endpoints []Endpoint
	Repeats   []Repeats
	// Lost are hosts of the sender's zone that it does not hear any more.
	Lost []string
}

// usage is what the sender counted for a service.
func (r *Report) usage(service string) retrybudget.Usage {
	for _, repeats := range r.Repeats {
		if repeats.Service == service {
			return retrybudget.Usage{Requests: float64(repeats.Requests), Retries: float64(repeats.Repeats)}
		}
	}
	return retrybudget.Usage{}
}

// encode returns the datagram of a report.
func (r *Report) encode() ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	e.UseArrayEncodedStructs(true)
	if err := e.Encode(r); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decode reads a datagram. It reserves no memory for what a datagram announces and does not hold.
func (r *Report) decode(datagram []byte) error {
	f := fieldReader{decoder: msgpack.NewDecoder(bytes.NewReader(datagram))}
	f.array("report", reportFields)
	*r = Report{
		Zone: f.text(), Incarnation: f.unsigned(), Sequence: f.unsigned(), Leaving: f.flag(), ConfigVersion: f.unsigned(),
		Revision: f.unsigned(), Digest: f.unsigned(), StoreMS: f.integer(), HeardMS: f.integer(),
	}
	for range f.list() {
		f.array("endpoint", endpointFields)
		r.Endpoints = append(r.Endpoints, Endpoint{
			ID: f.text(), FailPerMille: f.integer(), Busy: f.integer(), Queued: f.integer(), Slots: f.integer(),
			ServiceTimeMS: f.integer(), OutcomeAgeMS: f.integer(),
		})
	}
	for range f.list() {
		f.array("repeats", repeatsFields)
		r.Repeats = append(r.Repeats, Repeats{Service: f.text(), Requests: f.integer(), Repeats: f.integer()})
	}
	for range f.list() {
		r.Lost = append(r.Lost, f.text())
	}
	return f.err
}

const (
	// Numbers of fields of the structures, which are encoded as arrays.
	reportFields   = 12
	endpointFields = 7
	repeatsFields  = 3
	// maxText bounds the length of a name.
	maxText = 255
	// maxListed bounds the elements of a list. A node has one endpoint or two, and requests for a few services.
	maxListed = 128
)

// fieldReader reads the fields of a datagram in their order. After an error all further ones are zero.
type fieldReader struct {
	decoder *msgpack.Decoder
	err     error
}

func read[T any](f *fieldReader, decode func() (T, error)) T {
	var value T
	if f.err == nil {
		value, f.err = decode()
	}
	return value
}

func (f *fieldReader) integer() int     { return read(f, f.decoder.DecodeInt) }
func (f *fieldReader) unsigned() uint64 { return read(f, f.decoder.DecodeUint64) }
func (f *fieldReader) flag() bool       { return read(f, f.decoder.DecodeBool) }

func (f *fieldReader) text() string {
	return string(read(f, func() ([]byte, error) {
		n, err := f.decoder.DecodeBytesLen()
		if err != nil || n <= 0 {
			return nil, err
		}
		if n > maxText {
			return nil, fmt.Errorf("text announces %d bytes, at most %d are allowed", n, maxText)
		}
		text := make([]byte, n)
		return text, f.decoder.ReadFull(text)
	}))
}

// array checks the number of fields of a structure.
func (f *fieldReader) array(name string, fields int) {
	if n := read(f, f.decoder.DecodeArrayLen); f.err == nil && n != fields {
		f.err = fmt.Errorf("%s has %d fields, not %d", name, n, fields)
	}
}

// list returns the number of elements of a list.
func (f *fieldReader) list() int {
	n := read(f, f.decoder.DecodeArrayLen)
	if n > maxListed {
		f.err = fmt.Errorf("list announces %d elements, at most %d are allowed", n, maxListed)
	}
	if f.err != nil {
		return 0
	}
	return max(n, 0)
}

// ReceivedEndpoint is the latest report on an endpoint, with the time at which it was received.
type ReceivedEndpoint struct {
	Endpoint
	ReceivedAt time.Duration
	// SentSince counts the requests that this node has sent to the endpoint since.
	SentSince int
}

// update returns what is known after a report. The dispatcher of a node that has restarted has not seen any outcome yet;
// what was known before, and has aged since, says more about the endpoint than its prior.
func (k *ReceivedEndpoint) update(e Endpoint, now time.Duration) *ReceivedEndpoint {
	if k != nil && e.OutcomeAgeMS < 0 && k.OutcomeAgeMS >= 0 {
		age := now - k.ReceivedAt
		e.FailPerMille = int(1000 * faultfilter.Project(float64(k.FailPerMille)/1000, age))
		e.OutcomeAgeMS = k.OutcomeAgeMS + int(age.Milliseconds())
		e.ServiceTimeMS = k.ServiceTimeMS
	}
	return &ReceivedEndpoint{Endpoint: e, ReceivedAt: now}
}
