package framing

import (
	"bufio"
	"io"
)

const (
	// maxSizeDigits is the length up to which a chunk size is read, and maxExtensionBytes the same for the extensions of a chunk.
	maxSizeDigits     = 15
	maxExtensionBytes = 1 << 10
)

// chunkState is the position in a chunked body.
type chunkState int

const (
	inSize    chunkState = iota
	sizeBlank            // the blanks behind a chunk size
	inExtension
	sizeEnd // the line feed behind a chunk size
	inData
	dataEnd  // the carriage return behind the data
	dataEnd2 // the line feed behind the data
	trailerStart
	inTrailer
	trailerEnd // the line feed behind a trailer field
	bodyEnd    // the last line feed
)

// chunks removes the extensions and trailer fields from a chunked body.
type chunks struct {
	state chunkState
	// size is the size of the current chunk, of which digits have been read, or what is left of it.
	size   int64
	digits int
	// extra counts the bytes of the extensions of the current chunk, or of all trailer fields.
	extra int
}

// next copies from source to target. It returns the number of bytes read and written, and whether the body has ended.
func (c *chunks) next(target, source []byte, maxTrailers int) (read, written int, ended bool, err error) {
	for read < len(source) && written < len(target) {
		if c.state == inData {
			n := copy(target[written:], source[read:min(int64(len(source)), int64(read)+c.size)])
			read, written, c.size = read+n, written+n, c.size-int64(n)
			if c.size == 0 {
				c.state = dataEnd
			}
			continue
		}
		b := source[read]
		keep, err := c.step(b, maxTrailers)
		if err != nil {
			return read, written, false, err
		}
		read++
		if keep {
			target[written] = b
			written++
		}
		if c.state == bodyEnd && b == '\n' {
			return read, written, true, nil
		}
	}
	return read, written, false, nil
}

// step advances by one byte outside the data. It reports whether the parser gets the byte.
func (c *chunks) step(b byte, maxTrailers int) (keep bool, err error) {
	switch c.state {
	case inSize:
		return c.sizeStep(b)
	case sizeBlank:
		return c.sizeBlankStep(b)
	case inExtension:
		if c.extra++; c.extra > maxExtensionBytes || b == '\n' {
			return false, malformed("chunk extension")
		}
		if b == '\r' {
			c.state = sizeEnd
		}
		return b == '\r', nil
	case sizeEnd:
		c.extra = 0
		c.state = inData
		if c.size == 0 {
			c.state = trailerStart
		}
		return true, expect(b, '\n')
	case dataEnd:
		c.state = dataEnd2
		return true, expect(b, '\r')
	case dataEnd2:
		c.state, c.size, c.digits = inSize, 0, 0
		return true, expect(b, '\n')
	case trailerStart:
		if b == '\r' {
			c.state = bodyEnd
			return true, nil
		}
		c.state = inTrailer
		fallthrough
	case inTrailer:
		if c.extra++; c.extra > maxTrailers || b == '\n' {
			return false, malformed("trailer")
		}
		if b == '\r' {
			c.state = trailerEnd
		}
		return false, nil
	case trailerEnd:
		c.state = trailerStart
		return false, expect(b, '\n')
	default:
		return true, expect(b, '\n')
	}
}

func (c *chunks) sizeStep(b byte) (keep bool, err error) {
	digit := int64(-1)
	switch {
	case '0' <= b && b <= '9':
		digit = int64(b - '0')
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		digit = int64(b|0x20-'a') + 10
	}
	switch {
	case digit >= 0 && c.digits < maxSizeDigits:
		c.size, c.digits = c.size<<4|digit, c.digits+1
		return true, nil
	case c.digits > 0:
		return c.sizeBlankStep(b)
	}
	return false, malformed("chunk size")
}

// sizeBlankStep advances behind the digits of a chunk size, where only an extension or the end of the line may follow.
func (c *chunks) sizeBlankStep(b byte) (keep bool, err error) {
	switch {
	case b == '\r':
		c.state = sizeEnd
		return true, nil
	case b == ';':
		c.state = inExtension
		return false, nil
	case b == ' ' || b == '\t':
		c.state = sizeBlank
		if c.extra++; c.extra <= maxExtensionBytes {
			return false, nil
		}
	}
	return false, malformed("chunk size")
}

func expect(got, want byte) error {
	if got != want {
		return malformed("%q instead of %q in a chunked body", got, want)
	}
	return nil
}

// ChunkReader reads the data of a chunked body. Extensions and trailer fields are skipped.
type ChunkReader struct {
	source      *bufio.Reader
	maxTrailers int
	chunks      chunks
	ended       bool
}

// NewChunkReader returns a reader of a body whose trailer fields have at most maxTrailers bytes.
func NewChunkReader(source *bufio.Reader, maxTrailers int) *ChunkReader {
	return &ChunkReader{source: source, maxTrailers: maxTrailers}
}

// Read implements io.Reader. It returns io.EOF only behind the last chunk and its trailer fields.
func (r *ChunkReader) Read(p []byte) (int, error) {
	for !r.ended {
		if r.chunks.state == inData {
			return r.readData(p)
		}
		b, err := r.source.ReadByte()
		if err != nil {
			return 0, cutShort(err)
		}
		if _, err := r.chunks.step(b, r.maxTrailers); err != nil {
			return 0, err
		}
		r.ended = r.chunks.state == bodyEnd && b == '\n'
	}
	return 0, io.EOF
}

func (r *ChunkReader) readData(p []byte) (int, error) {
	n, err := r.source.Read(p[:min(int64(len(p)), r.chunks.size)])
	r.chunks.size -= int64(n)
	if r.chunks.size == 0 {
		r.chunks.state = dataEnd
	}
	return n, cutShort(err)
}

// cutShort returns the error of a read that ended before the body.
func cutShort(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
