package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// ErrTooLarge is returned for a message above the size limit. The connection stays usable for the sender.
var ErrTooLarge = errors.New("message exceeds the size limit")

// headerBytes is the length of the frame header, a big-endian uint32 with the length of the JSON text.
const headerBytes = 4

// codec frames JSON-RPC messages with a fixed-size length prefix. The codecs of jsonrpc2 accept frames of any length and
// decode from a limited reader, so text after the JSON value would be read as the next header.
type codec struct {
	limit    int
	traffic  *traffic
	received atomic.Uint64
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c *codec) WriteObject(stream io.Writer, object any) error {
	text, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(text) > c.limit {
		return fmt.Errorf("send %d bytes: %w (%d)", len(text), ErrTooLarge, c.limit)
	}
	var header [headerBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(text)))
	if _, err := stream.Write(header[:]); err != nil {
		return err
	}
	if _, err := stream.Write(text); err != nil {
		return err
	}
	c.traffic.sent.add(headerBytes + len(text))
	return nil
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c *codec) ReadObject(stream *bufio.Reader, object any) error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(stream, header[:]); err != nil {
		return err
	}
	length := int64(binary.BigEndian.Uint32(header[:]))
	if length > int64(c.limit) {
		return fmt.Errorf("receive %d bytes: %w (%d)", length, ErrTooLarge, c.limit)
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(stream, text); err != nil {
		return err
	}
	c.received.Add(1)
	c.traffic.received.add(headerBytes + len(text))
	return json.Unmarshal(text, object)
}
