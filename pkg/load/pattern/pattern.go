// Package pattern defines response bodies that are a function of the request, so that a client can tell a complete
// response to its own request from a truncated one and from the response to another request.
package pattern

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
)

// HeaderCheck is a request header that servers echo and that is part of the seed.
const HeaderCheck = "X-Check"

var (
	// ErrShort means that the body ended early.
	ErrShort = errors.New("body is too short")
	// ErrWrong means that the body has other bytes than expected, or more.
	ErrWrong = errors.New("body differs")
)

// Seed derives the seed of a response body from a request.
func Seed(method, uri, check string, body []byte) uint64 {
	h := fnv.New64a()
	for _, part := range [][]byte{[]byte(method), []byte(uri), []byte(check), body} {
		// The length separates the parts, so that bytes moved from one part to the next give another seed.
		fmt.Fprintf(h, "%d:", len(part))
		h.Write(part)
	}
	return h.Sum64()
}

// Reader yields the body of a given seed and length.
type Reader struct {
	state  uint64
	left   int64
	word   uint64
	unused int
}

// NewReader returns a reader of length bytes.
func NewReader(seed uint64, length int64) *Reader {
	return &Reader{state: seed, left: length}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	for i := range p {
		if r.unused == 0 {
			r.word = r.next()
			r.unused = 8
		}
		p[i] = byte(r.word)
		r.word >>= 8
		r.unused--
	}
	r.left -= int64(len(p))
	return len(p), nil
}

// next is the SplitMix64 generator.
func (r *Reader) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

const compareBuffer = 32 << 10

// Verify reads body to its end and compares it with the one expected for the seed and length. Its error wraps ErrShort,
// ErrWrong or the error of the body; the count is the number of bytes read.
func Verify(body io.Reader, seed uint64, length int64) (int64, error) {
	want := NewReader(seed, length)
	var total int64
	got := make([]byte, compareBuffer)
	expected := make([]byte, compareBuffer)
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
