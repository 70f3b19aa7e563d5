package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/outcome"
)

// answerTime is the time that a client gives an answer. It is longer than the deadline of its request.
const answerTime = 1500 * time.Millisecond

// rawPath is the prefix of the paths that an endpoint in trouble answers, followed by the number of the answer.
const rawPath = "/read/raw/"

// rawAnswers returns a function for machine.raw that writes the answer whose number is in the path.
func rawAnswers(answers []func(r *http.Request) func(w io.Writer)) func(r *http.Request) func(w io.Writer) {
	return func(r *http.Request) func(w io.Writer) {
		var number int
		if _, err := fmt.Sscanf(r.URL.Path, rawPath+"%d", &number); err != nil {
			return nil
		}
		return answers[number](r)
	}
}

// signature returns the fields by which a response belongs to a request.
func signature(r *http.Request) string {
	id := r.Header.Get(names.RequestID)
	return fmt.Sprintf("%s: %s\r\n%s: e1.%s\r\n", names.RequestID, id, names.Signature, id)
}

// text answers with a text in which SIGNED stands for the fields that attribute it to the request.
func text(answer string) func(r *http.Request) func(w io.Writer) {
	return func(r *http.Request) func(w io.Writer) {
		return func(w io.Writer) { _, _ = io.WriteString(w, strings.ReplaceAll(answer, "SIGNED", signature(r))) }
	}
}

// without end answers like text and then writes a piece again and again until the connection is closed.
func withoutEnd(answer, piece string, pause time.Duration) func(r *http.Request) func(w io.Writer) {
	block := strings.Repeat(piece, max(1, (32<<10)/len(piece)))
	if pause > 0 {
		block = piece
	}
	return func(r *http.Request) func(w io.Writer) {
		return func(w io.Writer) {
			text(answer)(r)(w)
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
	malformed := map[string]string{
		"a length with letters":             "HTTP/1.1 200 OK\r\nSIGNEDContent-Length: 1o\r\n\r\nok",
		"a length without a colon":          "HTTP/1.1 200 OK\r\nSIGNEDContent-Length 2\r\n\r\nok",
		"a blank before the colon":          "HTTP/1.1 200 OK\r\nSIGNEDContent-Length : 2\r\n\r\nok and more",
		"a blank in the name":               "HTTP/1.1 200 OK\r\nSIGNEDContent Length: 2\r\n\r\nok and more",
		"a control byte in the name":        "HTTP/1.1 200 OK\r\nSIGNEDContent-\x01Length: 2\r\n\r\nok and more",
		"a blank in another name":           "HTTP/1.1 200 OK\r\nSIGNEDX Field: a\r\nContent-Length: 2\r\n\r\nok",
		"a control byte in another name":    "HTTP/1.1 200 OK\r\nSIGNEDX\x02Field: a\r\nContent-Length: 2\r\n\r\nok",
		"a line that is no field":           "HTTP/1.1 200 OK\r\nSIGNEDno field\r\nContent-Length: 2\r\n\r\nok",
		"a line of a body":                  "HTTP/1.1 200 OK\r\nSIGNED{\"a\":\"b\"}\r\nContent-Length: 2\r\n\r\nok",
		"two lengths":                       "HTTP/1.1 200 OK\r\nSIGNEDContent-Length: 2\r\nContent-Length: 5\r\n\r\nok and more",
		"an unknown encoding":               "HTTP/1.1 200 OK\r\nSIGNEDTransfer-Encoding: chunke\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"a length and an encoding":          "HTTP/1.1 200 OK\r\nSIGNEDContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"status 000":                        "HTTP/1.1 000 OK\r\nSIGNEDContent-Length: 2\r\n\r\nok",
		"status 999":                        "HTTP/1.1 999 OK\r\nSIGNEDContent-Length: 2\r\n\r\nok",
		"status 101":                        "HTTP/1.1 101 OK\r\nSIGNEDUpgrade: other\r\n\r\nok",
		"an interim response with no field": "HTTP/1.1 103 Early Hints\r\nno field\r\n\r\nHTTP/1.1 200 OK\r\nSIGNEDContent-Length: 2\r\n\r\nok",
	}
	for _, k := range []kind{registered, published} {
		t.Run(string(k), func(t *testing.T) {
			var labels []string
			var answers []func(r *http.Request) func(w io.Writer)
			for label, answer := range malformed {
				labels, answers = append(labels, label), append(answers, text(answer))
			}
			m := &machine{kind: k, descriptors: descriptors, raw: rawAnswers(answers)}
			m.start(t)
			for number, label := range labels {
				path := fmt.Sprint(rawPath, number)
				t.Run(label, func(t *testing.T) {
					g := gomega.NewWithT(t)
					header := http.Header{names.RequestID: {fmt.Sprintf("raw-%d", number)}, names.DeadlineMS: {"1500"}}
					response, err := m.get(portCallers, path, header)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadGateway))
					g.Expect(outcome.Outcome(response.Header.Get(outcome.HeaderOutcome))).To(gomega.Equal(outcome.Unknown))
					g.Expect(outcome.Reason(response.Header.Get(outcome.HeaderReason))).To(gomega.Equal(outcome.ReasonAnswerMalformed))
				})
				t.Run(label+", for another node", func(t *testing.T) {
					g := gomega.NewWithT(t)
					response, err := m.get(portHop, path, m.hopHeader(fmt.Sprintf("raw-%d", number)))
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadGateway))
					g.Expect(outcome.Outcome(response.Header.Get(outcome.HeaderOutcome))).To(gomega.Equal(outcome.Unknown))
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
	endless := map[string]func(r *http.Request) func(w io.Writer){
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
			var labels []string
			var answers []func(r *http.Request) func(w io.Writer)
			for label, answer := range endless {
				labels, answers = append(labels, label), append(answers, answer)
			}
			m := &machine{kind: k, descriptors: descriptors, raw: rawAnswers(answers)}
			m.start(t)
			for number, label := range labels {
				t.Run(label+" without end", func(t *testing.T) {
					most := m.watchDescriptors()
					m.crowdRequests(fmt.Sprint(rawPath, number))
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
