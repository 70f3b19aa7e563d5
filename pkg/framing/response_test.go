package framing_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"agatepulley.example/agatepulley/pkg/framing"
)

// Guards against a response head that another parser refuses, or in which it finds another status or length. The seeds include
// malformed heads, which must be errors.
func FuzzResponseHead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.0 200\r\n\r\nok",
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 1o\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nno field\r\n\r\nok",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		head, err := framing.PeekResponseHead(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		if !strings.HasPrefix(text, string(head)) {
			t.Fatalf("head %q is not the beginning of %q", head, text)
		}
		got, err := framing.ParseResponseHead(head)
		if err != nil {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			t.Fatalf("accepted %q, which net/http refuses: %v", head, err)
		}
		noBody := response.StatusCode < 200 || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
		switch {
		case noBody:
		case got.End == framing.EndOfLength && response.ContentLength != got.Length,
			got.End == framing.EndOfChunks && len(response.TransferEncoding) != 1,
			got.End == framing.EndOfConnection && (response.ContentLength != -1 || len(response.TransferEncoding) > 0):
			t.Fatalf("%q: %+v, net/http says length %d, encodings %q", head, got, response.ContentLength, response.TransferEncoding)
		}
	})
}

// FuzzChunkReader guards against chunked bodies in which another reader finds other data.
func FuzzChunkReader(f *testing.F) {
	for _, text := range []string{
		"2\r\nok\r\n0\r\n\r\n", "2;a=b\r\nok\r\n0\r\n\r\n", "2\r\nok\r\n0\r\nX: 1\r\n\r\n", "02\r\nok\r\n0\r\n", "2\r\nok0\r\n\r\n", "2g\r\nok\r\n0\r\n\r\n",
		"2 \t\r\nok\r\n0 \r\n\r\n", "2 3\r\nok\r\n0\r\n\r\n",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		data, err := io.ReadAll(framing.NewChunkReader(bufio.NewReader(strings.NewReader(text)), headLimit))
		if err != nil {
			return
		}
		if strings.Contains(text, " ;") || strings.Contains(text, "\t;") {
			t.Skip("net/http refuses the blanks that RFC 9112 allows before an extension")
		}
		other, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+text)), nil)
		if err != nil {
			t.Fatal(err)
		}
		// net/http checks the names of trailer fields, which are skipped here.
		if otherData, err := io.ReadAll(other.Body); string(otherData) != string(data) {
			t.Fatalf("%q has the data %q, net/http reads %q: %v", text, data, otherData, err)
		}
	})
}
