package reports

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/faultfilter"
	"agatepulley.example/agatepulley/core/retrybudget"
)

// Endpoint is the condition of an endpoint as reported by the node on its host. It is encoded as an array in datagrams,
// and as JSON in a header of responses between nodes, where short names keep it small.
type Endpoint struct {
	ID string `json:"i"`
	// FailPerMille is the probability that the endpoint is failing, in thousandths.
	FailPerMille int `json:"f"`
	// Busy is the number of requests that the endpoint is processing, Queued the number that wait for it on its host, and
	// Slots the number that it may process at the same time.
	Busy   int `json:"b,omitempty"`
	Queued int `json:"q,omitempty"`
	Slots  int `json:"s"`
	// ServiceTimeMS is the mean processing time of a request, in milliseconds, or 0 if it is not known.
	ServiceTimeMS int `json:"m,omitempty"`
	// StartAgeMS is the time since the latest request began, in milliseconds, or negative if none has ended or stalled.
	StartAgeMS int `json:"o"`
	// Announced is what the endpoint has announced in its responses. If that is a limit, Credit is the number of further
	// requests that the limit allows now, which is negative if more requests wait. Both follow the report in datagrams, so that
	// nodes of earlier releases can read the rest.
	Announced announce.State `json:"a,omitzero" msgpack:"-"`
	Credit    float64        `json:"c,omitempty" msgpack:"-"`
}

// Repeats holds the requests and the retries that a node counted for a service in the latest window of the retry budget.
type Repeats struct {
	Service  string
	Requests int
	Repeats  int
}

// Report is the content of a datagram from one node to another. The source address of the datagram identifies the
// sender. The fields are encoded as an array without names, in this order.
type Report struct {
	Zone        string
	Incarnation uint64
	// Sequence numbers the reports of this process to the receiver.
	Sequence uint64
	// Leaving is set while the sender stops.
	Leaving bool
	// ConfigVersion is the version of the configuration that the sender knows, Revision the revision of the store up to
	// which it knows the registered endpoints, and Digest a hash of these endpoints. StoreMS is the time since the store
	// last answered the sender, or another node according to the reports that the sender received, in milliseconds. It is
	// negative if that is not known or too long ago.
	ConfigVersion uint64
	Revision      uint64
	Digest        uint64
	StoreMS       int `json:"a"`
	// HeardMS is the time since the sender last received a report from the receiver, in milliseconds, or negative if it
	// has received none.
	HeardMS   int
	Endpoints []Endpoint
	Repeats   []Repeats
	// Lost lists hosts of the sender's zone from which the sender has stopped receiving reports.
	Lost []string
}

// usage returns the requests and retries that the sender counted for a service.
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
	if announcements := r.announcements(); len(announcements) > 0 {
		if err := e.Encode(announcements); err != nil {
			return nil, err
		}
	}
	return b.Bytes(), nil
}

// announcement is what an endpoint of a report has announced, as it is encoded after the report.
type announcement struct {
	// Position is that of the endpoint in the report.
	Position    int
	StartedAtMS int64
	Version     uint64
	Limited     bool
	Limit       float64
	Leaving     bool
	// Credit is in hundredths.
	Credit int
}

// creditUnit is the unit of the credit in datagrams.
const creditUnit = 0.01

// announcements returns the announcements of the endpoints that have made any.
func (r *Report) announcements() []announcement {
	var list []announcement
	for n, e := range r.Endpoints {
		if a := e.Announced; a.Version > 0 {
			credit := int(math.Floor(e.Credit / creditUnit))
			list = append(list, announcement{n, a.StartedAtMS, a.Version, a.Limited, a.Limit, a.Leaving, credit})
		}
	}
	return list
}

// addAnnouncements reads the announcements that follow the report, if there are any, and adds them to its endpoints.
func (r *Report) addAnnouncements(f *fieldReader) {
	if _, err := f.decoder.PeekCode(); f.err != nil || errors.Is(err, io.EOF) {
		return
	}
	for range f.list(maxEndpoints) {
		f.array("announcement", announcementFields)
		position := f.integer()
		announced := announce.State{
			StartedAtMS: read(f, f.decoder.DecodeInt64), Version: f.unsigned(), Limited: f.flag(), Limit: f.number(), Leaving: f.flag(),
		}
		credit := float64(f.integer()) * creditUnit
		switch {
		case f.err != nil:
			return
		case announced.Limit < 0:
			f.err = fmt.Errorf("limit %v is negative", announced.Limit)
		case position < 0 || position >= len(r.Endpoints):
			f.err = fmt.Errorf("announcement of endpoint %d of %d", position, len(r.Endpoints))
		default:
			r.Endpoints[position].Announced, r.Endpoints[position].Credit = announced, credit
		}
	}
}

// decode reads a datagram. A length prefix larger than the content does not make it allocate memory for that length.
func (r *Report) decode(datagram []byte) error {
	f := fieldReader{decoder: msgpack.NewDecoder(bytes.NewReader(datagram))}
	f.array("report", reportFields)
	*r = Report{
		Zone: f.text(), Incarnation: f.unsigned(), Sequence: f.unsigned(), Leaving: f.flag(), ConfigVersion: f.unsigned(),
		Revision: f.unsigned(), Digest: f.unsigned(), StoreMS: f.integer(), HeardMS: f.integer(),
	}
	for range f.list(maxEndpoints) {
		f.array("endpoint", endpointFields)
		r.Endpoints = append(r.Endpoints, Endpoint{
			ID: f.text(), FailPerMille: f.integer(), Busy: f.integer(), Queued: f.integer(), Slots: f.integer(),
			ServiceTimeMS: f.integer(), StartAgeMS: f.integer(),
		})
	}
	for range f.list(maxListLength) {
		f.array("repeats", repeatsFields)
		r.Repeats = append(r.Repeats, Repeats{Service: f.text(), Requests: f.integer(), Repeats: f.integer()})
	}
	for range f.list(maxListLength) {
		r.Lost = append(r.Lost, f.text())
	}
	r.addAnnouncements(&f)
	return f.err
}

const (
	// Numbers of fields of the structs, which are encoded as arrays.
	reportFields       = 12
	endpointFields     = 7
	repeatsFields      = 3
	announcementFields = 7
	// maxTextBytes is the maximum length of a string.
	maxTextBytes = 255
	// maxListLength is the maximum length of a list. A node has requests for a few services.
	maxListLength = 128
	// maxEndpoints is the maximum number of endpoints in a report. A node has one, or two while one replaces the other.
	maxEndpoints = 16
)

// fieldReader reads the fields of a datagram in their order. After an error, it returns zero values.
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

// number reads a finite number.
func (f *fieldReader) number() float64 {
	value := read(f, f.decoder.DecodeFloat64)
	if f.err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
		f.err = fmt.Errorf("%v is not a finite number", value)
	}
	return value
}

func (f *fieldReader) text() string {
	return string(read(f, func() ([]byte, error) {
		n, err := f.decoder.DecodeBytesLen()
		if err != nil || n <= 0 {
			return nil, err
		}
		if n > maxTextBytes {
			return nil, fmt.Errorf("string of %d bytes is longer than the maximum of %d bytes", n, maxTextBytes)
		}
		text := make([]byte, n)
		return text, f.decoder.ReadFull(text)
	}))
}

// array reads the header of a struct that is encoded as an array and checks its number of fields.
func (f *fieldReader) array(name string, fields int) {
	if n := read(f, f.decoder.DecodeArrayLen); f.err == nil && n != fields {
		f.err = fmt.Errorf("%s has %d fields, expected %d", name, n, fields)
	}
}

// list reads the header of a list and returns the number of elements.
func (f *fieldReader) list(limit int) int {
	n := read(f, f.decoder.DecodeArrayLen)
	if n > limit {
		f.err = fmt.Errorf("list of %d elements is longer than the maximum of %d elements", n, limit)
	}
	if f.err != nil {
		return 0
	}
	return max(n, 0)
}

// ReceivedEndpoint is the latest received condition of an endpoint, with the time at which it was received.
type ReceivedEndpoint struct {
	Endpoint
	ReceivedAt time.Duration
	// SentSince counts the requests that this node has sent to the endpoint since then.
	SentSince int
	// CreditAt is when Credit was received. It is earlier than ReceivedAt if the latest report knows of no limit.
	CreditAt time.Duration
}

// update returns the condition of an endpoint after a report. A node that has restarted has not yet seen a request end, so
// that it reports only a default failure probability. Then the failure probability and the processing time from before
// are kept, and their age counts on, because they say more about the endpoint. So is the credit, as long as the restarted node has
// not been told of the limit: it is told with the next request, which the endpoint would not get without credit.
func (k *ReceivedEndpoint) update(e Endpoint, now time.Duration) *ReceivedEndpoint {
	if k != nil && e.StartAgeMS < 0 && k.StartAgeMS >= 0 {
		age := now - k.ReceivedAt
		e.FailPerMille = int(1000 * faultfilter.Project(float64(k.FailPerMille)/1000, age))
		e.StartAgeMS = k.StartAgeMS + int(age.Milliseconds())
		e.ServiceTimeMS = k.ServiceTimeMS
	}
	creditAt := now
	if k != nil && !e.Announced.Limited {
		e.Credit, creditAt = k.Credit, k.CreditAt
	}
	return &ReceivedEndpoint{Endpoint: e, ReceivedAt: now, CreditAt: creditAt}
}
