package framing

import (
	"bytes"
	"fmt"
	"net/http"
)

// BodyEnd says how the end of a response body is found.
type BodyEnd int

// Ends of response bodies.
const (
	// EndOfConnection means that the body ends when the connection is closed.
	EndOfConnection BodyEnd = iota
	// EndOfLength means that the head announces the length.
	EndOfLength
	// EndOfChunks means that the body is sent in chunks.
	EndOfChunks
)

// ResponseHead is what the head of a response says about its body.
type ResponseHead struct {
	End BodyEnd
	// Length is the announced length in bytes if End is EndOfLength.
	Length int64
}

// statusLineBytes is the length of a status line up to and including the byte behind the status.
const statusLineBytes = len("HTTP/1.1 200\r")

// Peeker is a buffered reader.
type Peeker interface {
	// Peek waits for n bytes and returns them without consuming them, or fewer with the reason.
	Peek(n int) ([]byte, error)
	// Buffered returns the number of bytes that have arrived and are not consumed.
	Buffered() int
}

// PeekResponseHead waits for the head of a response and returns it without consuming it. It returns an error as soon as the bytes
// that have arrived cannot become a well-formed head, or when they fill the buffer of the reader.
func PeekResponseHead(r Peeker) ([]byte, error) {
	line, err := r.Peek(statusLineBytes)
	if err != nil {
		return nil, fmt.Errorf("response ends after %d bytes: %w", len(line), err)
	}
	if _, err := checkStatusLine(line); err != nil {
		return nil, err
	}
	for scanned := 0; ; {
		// The bytes are buffered, so that Peek does not fail.
		text, _ := r.Peek(r.Buffered())
		end, next, err := findHeadEnd(text, scanned)
		switch {
		case err != nil:
			return nil, err
		case end > 0:
			return text[:end], nil
		}
		scanned = next
		if _, err := r.Peek(len(text) + 1); err != nil {
			return nil, fmt.Errorf("response head does not end within %d bytes: %w", len(text), err)
		}
	}
}

// ParseResponseHead checks the head of a response, which ends with an empty line.
func ParseResponseHead(text []byte) (ResponseHead, error) {
	line, rest, _ := bytes.Cut(text, []byte("\r\n"))
	if len(line) < statusLineBytes-1 {
		return ResponseHead{}, malformed("status line %.64q", line)
	}
	status, err := checkStatusLine(text[:statusLineBytes])
	if err != nil {
		return ResponseHead{}, err
	}
	if !isFieldText(line[statusLineBytes-1:]) {
		return ResponseHead{}, malformed("reason in status line %.64q", line)
	}
	h, err := parseFields(rest, line[len("HTTP/1.")] == '0')
	switch {
	case err != nil:
		return ResponseHead{}, err
	case status == "101":
		return ResponseHead{}, malformed("switch of protocols that was not asked for")
	case (status == "204" || status[0] == '1') && (h.chunked || h.length > 0):
		return ResponseHead{}, malformed("body of a response with status %s", status)
	case h.chunked:
		return ResponseHead{End: EndOfChunks}, nil
	case h.hasLength:
		return ResponseHead{End: EndOfLength, Length: h.length}, nil
	}
	return ResponseHead{End: EndOfConnection}, nil
}

// checkStatusLine returns the status of a response that begins with line, which has statusLineBytes bytes. It must be a number from
// 100 to 599, in HTTP/1.0 or 1.1.
func checkStatusLine(line []byte) (status string, err error) {
	version, code, end := line[:len("HTTP/1.1 ")], line[len("HTTP/1.1 "):statusLineBytes-1], line[statusLineBytes-1]
	isDigit := func(b byte) bool { return '0' <= b && b <= '9' }
	isHTTP := string(version) == "HTTP/1.1 " || string(version) == "HTTP/1.0 "
	isStatus := '1' <= code[0] && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2])
	if !isHTTP || !isStatus || (end != ' ' && end != '\r') {
		return "", malformed("response begins with %q", line)
	}
	return string(code), nil
}

// CheckHeader checks the names of a header that net/http has read, which accepts blanks in them.
func CheckHeader(header http.Header) error {
	for name := range header {
		if !isToken([]byte(name)) {
			return malformed("field name %.64q", name)
		}
	}
	return nil
}
