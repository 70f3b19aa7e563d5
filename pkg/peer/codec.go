package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/pkg/memory"
)

// ErrTooLarge is returned for a message above the size limit. The connection stays usable for the sender.
var ErrTooLarge = errors.New("message exceeds the size limit")

// ErrNoMemory is returned for a message for which there is no memory.
var ErrNoMemory = errors.New("no memory for the message")

const (
	// smallMessage is the memory up to which a message takes nothing from the memory for messages, since it counts as part of its
	// connection or of its call.
	smallMessage = 16 << 10
	// decodedFactor is the memory of a message and of what is decoded from it, in lengths of the message.
	decodedFactor = 3
	// messageTimeout is the time within which a message must arrive once it has begun, and be given memory.
	messageTimeout = 10 * time.Second
	// reservePoll is the interval at which a message looks for memory.
	reservePoll = 5 * time.Millisecond
)

// headerBytes is the length of the frame header, a big-endian uint32 with the length of the JSON text.
const headerBytes = 4

// codec frames JSON-RPC messages with a fixed-size length prefix. The codecs of jsonrpc2 accept frames of any length and
// decode from a limited reader, so text after the JSON value would be read as the next header.
type codec struct {
	limit    int
	traffic  *traffic
	received atomic.Uint64
	memory   *memory.Budget
	// arriving is called when a message begins to arrive with the time by which it must have arrived, and with the zero
	// time when it has.
	arriving func(deadline time.Time) error
	// held is the memory of the latest message.
	held int64
}

// reserve takes memory for a message. It waits until there is enough, or returns false after the deadline. A message larger than all
// of the memory takes all of it.
func reserve(budget *memory.Budget, bytes int64, deadline time.Time) (held int64, ok bool) {
	if bytes <= smallMessage {
		return 0, true
	}
	bytes = min(bytes, budget.Limit())
	for !budget.Reserve(bytes) {
		if time.Now().After(deadline) {
			return 0, false
		}
		time.Sleep(reservePoll)
	}
	return bytes, true
}

// take hands over the memory of the latest message, which the caller must release.
func (c *codec) take() (held int64) {
	held, c.held = c.held, 0
	return held
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
	c.memory.Release(c.take())
	if _, err := stream.Peek(1); err != nil {
		return err
	}
	deadline := time.Now().Add(messageTimeout)
	if err := c.arriving(deadline); err != nil {
		return err
	}
	if err := c.readMessage(stream, object, deadline); err != nil {
		c.memory.Release(c.take())
		return err
	}
	return c.arriving(time.Time{})
}

func (c *codec) readMessage(stream *bufio.Reader, object any, deadline time.Time) error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(stream, header[:]); err != nil {
		return err
	}
	length := int64(binary.BigEndian.Uint32(header[:]))
	if length > int64(c.limit) {
		return fmt.Errorf("receive %d bytes: %w (%d)", length, ErrTooLarge, c.limit)
	}
	var ok bool
	if c.held, ok = reserve(c.memory, decodedFactor*length, deadline); !ok {
		return fmt.Errorf("receive %d bytes: %w", length, ErrNoMemory)
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(stream, text); err != nil {
		return err
	}
	c.received.Add(1)
	c.traffic.received.add(headerBytes + len(text))
	return json.Unmarshal(text, object)
}
