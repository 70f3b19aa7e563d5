package crowd

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/outcome"
)

// answerTime is the time that a client gives an answer. It is longer than the deadline of its request.
const answerTime = 1500 * time.Millisecond

// answer returns what an endpoint in trouble writes to the connection of a request.
type answer func(r *http.Request) func(w io.Writer)

// rawPath is the prefix of the paths to which an endpoint in trouble gives an answer, followed by the number of the answer.
const rawPath = "/read/raw/"

// startInTrouble starts a machine whose endpoint gives the answers. It returns the path of each answer by its label.
func startInTrouble(t *testing.T, k kind, answers map[string]answer) (m *machine, paths map[string]string) {
	labels := slices.Sorted(maps.Keys(answers))
	m = &machine{kind: k, descriptors: descriptors, raw: func(r *http.Request) func(w io.Writer) {
		var number int
		if _, err := fmt.Sscanf(r.URL.Path, rawPath+"%d", &number); err != nil {
			return nil
		}
		return answers[labels[number]](r)
	}}
	m.start(t)
	paths = make(map[string]string)
	for number, label := range labels {
		paths[label] = fmt.Sprint(rawPath, number)
	}
	return m, paths
}

// signature returns the fields by which a response belongs to a request.
func signature(r *http.Request) string {
	id := r.Header.Get(names.RequestID)
	return fmt.Sprintf("%s: %s\r\n%s: e1.%s\r\n", names.RequestID, id, names.Signature, id)
}

// raw returns an answer of a text in which SIGNED stands for the fields that attribute it to the request.
func raw(text string) answer {
	return func(r *http.Request) func(w io.Writer) {
		return func(w io.Writer) { _, _ = io.WriteString(w, strings.ReplaceAll(text, "SIGNED", signature(r))) }
	}
}

// withoutEnd returns an answer of a text as for raw and then a piece again and again, until the connection is closed.
func withoutEnd(text, piece string, pause time.Duration) answer {
	block := strings.Repeat(piece, max(1, (32<<10)/len(piece)))
	if pause > 0 {
		block = piece
	}
	return func(r *http.Request) func(w io.Writer) {
		return func(w io.Writer) {
			raw(text)(r)(w)
			for {
				if _, err := io.WriteString(w, block); err != nil {
					return
				}
				time.Sleep(pause)
			}
		}
	}
}

// Guards against responses that reach callers as answers although they are malformed.
func TestMalformedAnswers(t *testing.T) {
	malformed := map[string]answer{
		"a length with letters":             raw("HTTP/1.1 200 OK\r\nSIGNEDContent-Length: 1o\r\n\r\nok"),
		"a length without a colon":          raw("HTTP/1.1 200 OK\r\nSIGNEDContent-Length 2\r\n\r\nok"),
		"a blank before the colon":          raw("HTTP/1.1 200 OK\r\nSIGNEDContent-Length : 2\r\n\r\nok and more"),
		"a blank in the name":               raw("HTTP/1.1 200 OK\r\nSIGNEDContent Length: 2\r\n\r\nok and more"),
		"a control byte in the name":        raw("HTTP/1.1 200 OK\r\nSIGNEDContent-\x01Length: 2\r\n\r\nok and more"),
		"a blank in another name":           raw("HTTP/1.1 200 OK\r\nSIGNEDX Field: a\r\nContent-Length: 2\r\n\r\nok"),
		"a control byte in another name":    raw("HTTP/1.1 200 OK\r\nSIGNEDX\x02Field: a\r\nContent-Length: 2\r\n\r\nok"),
		"a line that is no field":           raw("HTTP/1.1 200 OK\r\nSIGNEDno field\r\nContent-Length: 2\r\n\r\nok"),
		"a line of a body":                  raw("HTTP/1.1 200 OK\r\nSIGNED{\"a\":\"b\"}\r\nContent-Length: 2\r\n\r\nok"),
		"two lengths":                       raw("HTTP/1.1 200 OK\r\nSIGNEDContent-Length: 2\r\nContent-Length: 5\r\n\r\nok and more"),
		"an unknown encoding":               raw("HTTP/1.1 200 OK\r\nSIGNEDTransfer-Encoding: chunke\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		"a length and an encoding":          raw("HTTP/1.1 200 OK\r\nSIGNEDContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		"status 000":                        raw("HTTP/1.1 000 OK\r\nSIGNEDContent-Length: 2\r\n\r\nok"),
		"status 999":                        raw("HTTP/1.1 999 OK\r\nSIGNEDContent-Length: 2\r\n\r\nok"),
		"status 101":                        raw("HTTP/1.1 101 OK\r\nSIGNEDUpgrade: other\r\n\r\nok"),
		"an interim response with no field": raw("HTTP/1.1 103 Early Hints\r\nno field\r\n\r\nHTTP/1.1 200 OK\r\nSIGNEDContent-Length: 2\r\n\r\nok"),
	}
	for _, k := range []kind{registered, published} {
		t.Run(string(k), func(t *testing.T) {
			m, paths := startInTrouble(t, k, malformed)
			for label, path := range paths {
				t.Run(label, func(t *testing.T) {
					id := strings.ReplaceAll(path, "/", "-")
					for port, header := range map[int]http.Header{
						portCallers: {names.RequestID: {id}, names.DeadlineMS: {"1500"}},
						portHop:     m.hopHeader(id),
					} {
						g := gomega.NewWithT(t)
						response, err := m.get(port, path, header)
						g.Expect(err).NotTo(gomega.HaveOccurred())
						g.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadGateway))
						g.Expect(outcome.Outcome(response.Header.Get(outcome.HeaderOutcome))).To(gomega.Equal(outcome.Unknown))
						g.Expect(outcome.Reason(response.Header.Get(outcome.HeaderReason))).To(gomega.Equal(outcome.ReasonAnswerMalformed))
					}
				})
			}
			m.expectServes(t)
		})
	}
}

// Guards against endpoints that take all memory of a process with bytes that are no answer, or an answer without end.
func TestEndlessAnswers(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\nSIGNED"
		other   = "HTTP/1.1 200 OK\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
	)
	kilobyte := strings.Repeat("x", 1<<10)
	endless := map[string]answer{
		"no head":                     withoutEnd("", kilobyte, 0),
		"empty lines":                 withoutEnd("", "\r\n", 0),
		"a reason":                    withoutEnd("HTTP/1.1 200 ", kilobyte, 0),
		"a field":                     withoutEnd(ok+"X-Field: ", kilobyte, 0),
		"fields":                      withoutEnd(ok, "X-Field: a\r\n", 0),
		"fields in drips":             withoutEnd(ok, "X-Field: a\r\n", time.Millisecond),
		"interim responses":           withoutEnd("", "HTTP/1.1 100 Continue\r\n\r\n", 0),
		"a body in chunks":            withoutEnd(ok+chunked, "400\r\n"+kilobyte+"\r\n", 0),
		"a body in small chunks":      withoutEnd(ok+chunked, "1\r\nx\r\n", 0),
		"a chunk":                     withoutEnd(ok+chunked+"7fffffffffffffff\r\n", kilobyte, 0),
		"the size of a chunk":         withoutEnd(ok+chunked, "0", 0),
		"an extension of a chunk":     withoutEnd(ok+chunked+"1;", kilobyte, 0),
		"trailers":                    withoutEnd(ok+chunked+"0\r\n", "X-Field: a\r\n", 0),
		"a body with a length":        withoutEnd(ok+"Content-Length: 1099511627776\r\n\r\n", kilobyte, 0),
		"a body without a length":     withoutEnd(ok+"\r\n", kilobyte, 0),
		"a body behind a length":      withoutEnd(ok+"Content-Length: 2\r\n\r\nok", kilobyte, 0),
		"a body of another request":   withoutEnd(other+names.RequestID+": other\r\n"+chunked, "400\r\n"+kilobyte+"\r\n", 0),
		"a body of a rejection":       withoutEnd("HTTP/1.1 503 Full\r\n"+names.NotRun+": 1\r\nSIGNED"+chunked, "400\r\n"+kilobyte+"\r\n", 0),
		"responses of other requests": withoutEnd("", other+names.RequestID+": other\r\nContent-Length: 2\r\n\r\nok", 0),
	}
	for _, k := range []kind{registered, published} {
		t.Run(string(k), func(t *testing.T) {
			m, paths := startInTrouble(t, k, endless)
			for label, path := range paths {
				t.Run(label+" without end", func(t *testing.T) {
					most := m.watchDescriptors()
					m.crowdRequests(path)
					m.expectUnharmed(t, most())
				})
			}
		})
	}
}

// crowdRequests sends a request from each client of a crowd. Half of them read what they get, the others never read.
func (m *machine) crowdRequests(path string) {
	head := strings.Replace(wholeHead, "/read/x", path, 1)
	var crowd sync.WaitGroup
	for number := range clients {
		crowd.Go(func() {
			conn, err := net.DialTimeout("tcp", m.address(portCallers), crowdLimit)
			if err != nil {
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(answerTime))
			_, _ = io.WriteString(conn, head)
			if number%2 == 0 {
				time.Sleep(answerTime)
				return
			}
			linger(conn)
		})
	}
	crowd.Wait()
}
