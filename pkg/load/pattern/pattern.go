// Package pattern generates response bodies from the content of the request, so that a client can distinguish the
// complete response to its own request from a truncated one and from the response to another request.
package pattern

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
)

// HeaderCheck is a request header that is part of the seed. Servers copy it to the response.
const HeaderCheck = "X-Check"

var (
	// ErrShort means that the body is shorter than expected.
	ErrShort = errors.New("body is too short")
	// ErrWrong means that the body has other bytes than expected, or is longer.
	ErrWrong = errors.New("body differs")
)

// Seed derives the seed of the response body from the method, the URI, the value of HeaderCheck and the body of a
// request.
func Seed(method, uri, check string, body []byte) uint64 {
	h := fnv.New64a()
	for _, part := range [][]byte{[]byte(method), []byte(uri), []byte(check), body} {
		// The length separates the parts, so that the same bytes divided differently among the parts give another seed.
		fmt.Fprintf(h, "%d:", len(part))
		h.Write(part)
	}
	return h.Sum64()
}

// Reader generates the body for a given seed and length.
type Reader struct {
	// state is the state of the random number generator.
	state     uint64
	remaining int64
	// word holds the bytes of the latest random number that were not returned yet, unusedBytes their number.
	word        uint64
	unusedBytes int
}

// NewReader returns a reader of length bytes.
func NewReader(seed uint64, length int64) *Reader {
	return &Reader{state: seed, remaining: length}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	for i := range p {
		if r.unusedBytes == 0 {
			r.word = r.next()
			r.unusedBytes = 8
		}
		p[i] = byte(r.word)
		r.word >>= 8
		r.unusedBytes--
	}
	r.remaining -= int64(len(p))
	return len(p), nil
}

// next returns the next random number of the SplitMix64 generator.
func (r *Reader) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

const compareBufferBytes = 32 << 10

// Verify reads body to its end or to the first difference from the body expected for the seed and length, and returns the
// number of bytes read. The error wraps ErrShort, ErrWrong or the error of the read.
func Verify(body io.Reader, seed uint64, length int64) (int64, error) {
	want := NewReader(seed, length)
	var total int64
	got := make([]byte, compareBufferBytes)
	expected := make([]byte, compareBufferBytes)
	for {
		n, err := body.Read(got)
		total += int64(n)
		m, _ := io.ReadFull(want, expected[:n])
		if m < n || !bytes.Equal(got[:n], expected[:n]) {
			return total, fmt.Errorf("at byte %d of %d: %w", total, length, ErrWrong)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return total, fmt.Errorf("after %d of %d bytes: %w", total, length, err)
		}
	}
	if total < length {
		return total, fmt.Errorf("%d of %d bytes: %w", total, length, ErrShort)
	}
	return total, nil
}
