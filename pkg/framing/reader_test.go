package framing_test

import (
	"bytes"
	"cmp"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/pkg/framing"
	"agatepulley.example/agatepulley/pkg/memory"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const headLimit = 8 << 10

func limits(budget *memory.Budget) framing.Limits {
	return framing.Limits{HeadBytes: func() int { return headLimit }, Memory: budget}
}

// pieces is a source that returns a text in parts of the given sizes, again and again.
type pieces struct {
	text  string
	sizes []int
	next  int
}

func (s *pieces) Read(p []byte) (int, error) {
	if s.text == "" {
		return 0, io.EOF
	}
	n := min(s.sizes[s.next%len(s.sizes)], len(p), len(s.text))
	s.next++
	copy(p, s.text[:n])
	s.text = s.text[n:]
	return n, nil
}

// Guards against bytes that are lost, doubled or assigned to another request, however the network splits a stream of requests,
// and against shared memory that is not given back.
func TestRequestsPassHoweverTheyAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		var sent, want strings.Builder
		text := rapid.StringMatching(`[ -~]{0,40}`)
		for n := range rapid.IntRange(1, 4).Draw(t, "requests") {
			sent.WriteString(strings.Repeat("\r\n", rapid.IntRange(0, 2).Draw(t, "empty lines")))
			head := fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nA: %s\r\n", n, strings.Repeat("x", rapid.SampledFrom([]int{0, 10, 4096, 6000}).Draw(t, "field")))
			if rapid.Bool().Draw(t, "chunked") {
				head += "Transfer-Encoding: chunked\r\n\r\n"
				sent.WriteString(head)
				want.WriteString(head)
				for _, chunk := range rapid.SliceOfN(text, 0, 3).Draw(t, "chunks") {
					if chunk == "" {
						continue
					}
					extension := rapid.SampledFrom([]string{"", ";a=b", " ;x"}).Draw(t, "extension")
					fmt.Fprintf(&sent, "%x%s\r\n%s\r\n", len(chunk), extension, chunk)
					fmt.Fprintf(&want, "%x\r\n%s\r\n", len(chunk), chunk)
				}
				sent.WriteString("0\r\n" + rapid.SampledFrom([]string{"", "T: v\r\n", "T: v\r\nU: w\r\n"}).Draw(t, "trailers") + "\r\n")
				want.WriteString("0\r\n\r\n")
				continue
			}
			body := text.Draw(t, "body")
			head += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
			sent.WriteString(head)
			want.WriteString(head)
		}
		budget := memory.NewBudget(1 << 20)
		source := &pieces{text: sent.String(), sizes: rapid.SliceOfN(rapid.IntRange(1, 5000), 1, 6).Draw(t, "sizes")}
		reader := framing.NewReader(source, limits(budget))
		got, err := io.ReadAll(&oddReads{reader, rapid.IntRange(1, 5000).Draw(t, "read size")})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(got)).To(gomega.Equal(want.String()))
		g.Expect(reader.Refusal()).NotTo(gomega.HaveOccurred())
		reader.Close()
		g.Expect(budget.Available()).To(gomega.BeEquivalentTo(1 << 20))
	})
}

// oddReads reads with buffers of one size.
type oddReads struct {
	reader io.Reader
	size   int
}

func (r *oddReads) Read(p []byte) (int, error) {
	return r.reader.Read(p[:min(len(p), r.size)])
}

// Guards against a head that another server could read in another way (request smuggling).
func TestAmbiguousHeadsAreRefused(t *testing.T) {
	const line, host = "GET /x HTTP/1.1\r\n", "Host: h\r\n"
	for name, text := range map[string]string{
		"bare line feed after the request line":  "GET /x HTTP/1.1\nHost: h\r\n\r\n",
		"bare line feed after a field":           line + "Host: h\nContent-Length: 5\r\n\r\n",
		"bare line feed hides a field":           line + host + "A: b\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
		"bare line feed at the end":              line + host + "\n",
		"bare carriage return":                   line + host + "A: b\rContent-Length: 3\r\n\r\n",
		"space before the colon":                 line + host + "Content-Length : 3\r\n\r\n",
		"folded line":                            line + host + "A: b\r\n c\r\n\r\n",
		"folded first line":                      line + " Host: h\r\n\r\n",
		"empty name":                             line + host + ": b\r\n\r\n",
		"no colon":                               line + host + "Content-Length\r\n\r\n",
		"NUL in a value":                         line + host + "A: b\x00c\r\n\r\n",
		"NUL in a name":                          line + host + "A\x00: b\r\n\r\n",
		"two lengths":                            line + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
		"two equal lengths":                      line + host + "Content-Length: 3\r\ncontent-length: 3\r\n\r\n",
		"list of lengths":                        line + host + "Content-Length: 3, 3\r\n\r\n",
		"signed length":                          line + host + "Content-Length: +3\r\n\r\n",
		"huge length":                            line + host + "Content-Length: 99999999999999999999\r\n\r\n",
		"length and encoding":                    line + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"two encodings":                          line + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"other encoding":                         line + host + "Transfer-Encoding: gzip, chunked\r\n\r\n",
		"encoding behind a control character":    line + host + "Transfer-Encoding: \x0bchunked\r\n\r\n",
		"encoding in HTTP/1.0":                   "GET /x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
		"two hosts":                              line + host + "Host: i\r\n\r\n",
		"two spaces in the request line":         "GET  /x HTTP/1.1\r\nHost: h\r\n\r\n",
		"space in the target":                    "GET /x y HTTP/1.1\r\nHost: h\r\n\r\n",
		"control character in the target":        "GET /x\x01 HTTP/1.1\r\nHost: h\r\n\r\n",
		"version without a number":               "GET /x HTTP\r\nHost: h\r\n\r\n",
		"version of another protocol":            "GET /x HTTP/2.0\r\nHost: h\r\n\r\n",
		"method that is no token":                "G(T /x HTTP/1.1\r\nHost: h\r\n\r\n",
		"many empty lines":                       strings.Repeat("\r\n", 9) + line + host + "\r\n",
		"empty lines of line feeds":              "\n\n" + line + host + "\r\n",
		"request of another protocol, no return": "\x16\x03\x01\x02\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, source := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
				expectRefused(t, source, framing.ErrMalformed)
			}
		})
	}
}

// expectRefused reads a stream whose first head is refused for a cause.
func expectRefused(t *testing.T, source io.Reader, cause error) {
	t.Helper()
	g := gomega.NewWithT(t)
	budget := memory.NewBudget(1 << 20)
	reader := framing.NewReader(source, limits(budget))
	got, err := io.ReadAll(reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reader.Refusal()).To(gomega.MatchError(cause))
	g.Expect(string(got)).To(gomega.HavePrefix("GET / HTTP/1.1\r\nHost: refused\r\n"))
	g.Expect(budget.Available()).To(gomega.BeEquivalentTo(1 << 20))
}

// Guards against memory that a sender takes with a head without end, and against heads that all connections send at the same time.
func TestHeadsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, text := range []string{
		"GET /x HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", headLimit) + "\r\n\r\n",
		"GET /x HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", headLimit),
		"GET /" + strings.Repeat("x", 2*headLimit),
	} {
		expectRefused(t, strings.NewReader(text), framing.ErrHeadTooLarge)
		expectRefused(t, iotest.OneByteReader(strings.NewReader(text)), framing.ErrHeadTooLarge)
	}
	fits := "GET /x HTTP/1.1\r\nHost: h\r\nA: "
	fits += strings.Repeat("x", headLimit-len(fits)-len("\r\n\r\n")) + "\r\n\r\n"
	got, err := io.ReadAll(framing.NewReader(strings.NewReader(fits), limits(memory.NewBudget(1<<20))))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(got) == fits).To(gomega.BeTrue())

	// The memory allows one head of more than 4 KiB.
	budget := memory.NewBudget(headLimit)
	first := framing.NewReader(io.MultiReader(strings.NewReader(fits[:5000]), iotest.ErrReader(os.ErrDeadlineExceeded)), limits(budget))
	_, err = first.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError(os.ErrDeadlineExceeded))
	second := framing.NewReader(strings.NewReader(fits), limits(budget))
	_, err = io.ReadAll(second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second.Refusal()).To(gomega.MatchError(framing.ErrNoMemory))
	first.Close()
	third := framing.NewReader(strings.NewReader(fits), limits(budget))
	_, err = io.ReadAll(third)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(third.Refusal()).NotTo(gomega.HaveOccurred())
}

// Guards against chunked bodies without end in their sizes, extensions or trailers, and against ambiguous ones.
func TestMalformedChunksAreErrors(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]string{
		"size without end":          strings.Repeat("0", 100),
		"size of another base":      "zz\r\n",
		"no size":                   "\r\n",
		"signed size":               "-1\r\nx\r\n0\r\n\r\n",
		"size ends with line feed":  "1\nx\r\n0\r\n\r\n",
		"extension without end":     "1;" + strings.Repeat("x", 4096),
		"line feed in an extension": "1;a\n\r\nx\r\n0\r\n\r\n",
		"more data than announced":  "1\r\nxy\r\n0\r\n\r\n",
		"data ends with line feed":  "1\r\nx\n0\r\n\r\n",
		"trailers without end":      "0\r\n" + strings.Repeat("A: b\r\n", headLimit),
		"line feed in a trailer":    "0\r\nA: b\n\r\n",
		"last line without return":  "0\r\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			reader := framing.NewReader(strings.NewReader(head+text), limits(memory.NewBudget(1<<20)))
			_, err := io.ReadAll(reader)
			if !errors.Is(err, framing.ErrMalformed) {
				t.Fatalf("got %v", err)
			}
			if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
				t.Fatalf("%q, %v after the error", rest, err)
			}
		})
	}
}

// Guards against a stream of bytes that ends the process or hangs.
func FuzzReader(f *testing.F) {
	f.Add([]byte("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;a\r\nx\r\n0\r\nA: b\r\n\r\nGET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte("\r\n\r\nGET / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"))
	f.Fuzz(func(t *testing.T, text []byte) {
		budget := memory.NewBudget(1 << 20)
		reader := framing.NewReader(bytes.NewReader(text), limits(budget))
		got, err := io.ReadAll(reader)
		if err != nil && !errors.Is(err, framing.ErrMalformed) {
			t.Fatal(err)
		}
		if len(got) > len(text)+200 {
			t.Fatalf("%d bytes became %d", len(text), len(got))
		}
		reader.Close()
		if budget.Available() != 1<<20 {
			t.Fatalf("%d bytes are still reserved", 1<<20-budget.Available())
		}
	})
}
