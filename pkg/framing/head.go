package framing

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// ErrMalformed is returned for a request or a response that breaks the syntax of HTTP/1.1 or whose end is ambiguous.
var ErrMalformed = errors.New("malformed message")

// maxLengthDigits keeps content lengths within 63 bits.
const maxLengthDigits = 18

// head is what a head says about the body that follows.
type head struct {
	chunked bool
	// hasLength is set if the head announces a length.
	hasLength bool
	length    int64
}

// parseHead checks the head of a request, which ends with an empty line.
func parseHead(text []byte) (head, error) {
	line, rest, _ := bytes.Cut(text, []byte("\r\n"))
	http10, err := checkRequestLine(line)
	if err != nil {
		return head{}, err
	}
	return parseFields(rest, http10)
}

// parseFields checks the fields of a head, behind which an empty line follows.
func parseFields(text []byte, http10 bool) (head, error) {
	var h head
	lengths, encodings, hosts := 0, 0, 0
	for {
		line, rest, _ := bytes.Cut(text, []byte("\r\n"))
		if len(line) == 0 {
			break
		}
		text = rest
		name, value, err := splitField(line)
		if err != nil {
			return head{}, err
		}
		switch {
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			if h.length, err = parseLength(value); err != nil {
				return head{}, err
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
			if h.chunked = bytes.EqualFold(value, []byte("chunked")); !h.chunked {
				return head{}, malformed("transfer encoding %.32q", value)
			}
		}
	}
	switch {
	case hosts > 1:
		return head{}, malformed("%d Host fields", hosts)
	case lengths+encodings > 1:
		return head{}, malformed("%d Content-Length and %d Transfer-Encoding fields", lengths, encodings)
	case http10 && h.chunked:
		return head{}, malformed("Transfer-Encoding in HTTP/1.0")
	}
	h.hasLength = lengths > 0
	return h, nil
}

// findHeadEnd returns the length of the head that a text begins with, or 0 if it has not ended. Each call returns how much of the
// text the next one need not look at again. A line that ends with a line feed alone is an error, since others may not take it
// for the end of a line.
func findHeadEnd(text []byte, scanned int) (end, nextScanned int, err error) {
	for {
		n := bytes.IndexByte(text[scanned:], '\n')
		if n < 0 {
			return 0, len(text), nil
		}
		at := scanned + n
		if at == 0 || text[at-1] != '\r' {
			return 0, scanned, malformed("a line ends without a carriage return")
		}
		scanned = at + 1
		if bytes.HasSuffix(text[:scanned], []byte("\r\n\r\n")) {
			return scanned, scanned, nil
		}
	}
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

// checkRequestLine checks a request line. It reports whether the version is HTTP/1.0.
func checkRequestLine(line []byte) (http10 bool, err error) {
	parts := bytes.Split(line, []byte(" "))
	if len(parts) != 3 || !isToken(parts[0]) || len(parts[1]) == 0 {
		return false, malformed("request line %.64q", line)
	}
	for _, c := range parts[1] {
		if c <= ' ' || c == 0x7f {
			return false, malformed("request target %.64q", parts[1])
		}
	}
	switch string(parts[2]) {
	case "HTTP/1.1":
		return false, nil
	case "HTTP/1.0":
		return true, nil
	}
	return false, malformed("version %.32q", parts[2])
}

// splitField returns the name and the trimmed value of a field line.
func splitField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return nil, nil, malformed("field line %.64q", line)
	}
	if !isFieldText(value) {
		return nil, nil, malformed("value of field %.64q", name)
	}
	return name, bytes.Trim(value, " \t"), nil
}

// isFieldText reports whether a text has no control characters but tabs.
func isFieldText(text []byte) bool {
	for _, c := range text {
		if (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return true
}

func parseLength(value []byte) (int64, error) {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return 0, malformed("content length %.32q", value)
	}
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, malformed("content length %.32q", value)
		}
	}
	return strconv.ParseInt(string(value), 10, 64)
}

// isToken reports whether a text is a token of RFC 9110, section 5.6.2.
func isToken(text []byte) bool {
	for _, c := range text {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(text) > 0
}
