package transport_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/transport"
)

// Guards against a response that is passed on as an answer although its status says nothing, such as 000, which hertz reports as
// 200.
func TestResponsesWithoutAValidStatusAreErrors(t *testing.T) {
	options := transport.Options{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4}
	for status, valid := range map[string]bool{
		"000": false, "0": false, "00": false, "099": false, "600": false, "999": false, "1000": false, "0200": false, "2000": false,
		"20": false, "2x0": false, "-20": false, "+20": false, "": false, "200": true, "404": true, "599": true,
	} {
		for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
			t.Run(fmt.Sprintf("%s%q", status, interim), func(t *testing.T) {
				g := gomega.NewWithT(t)
				address := serveRaw(t, fmt.Sprintf("%sHTTP/1.1 %s OK\r\nContent-Length: 2\r\n\r\nok", interim, status))
				request := &transport.Request{Head: &protocol.Request{}}
				request.Head.SetRequestURI("/x")
				request.Head.Header.SetHost("h")
				pending, err := transport.NewPool(address, options, &transport.Stats{}).Send(t.Context(), request)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				response, err := pending.Await()
				if valid {
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(fmt.Sprint(response.Head.StatusCode())).To(gomega.Equal(status))
					return
				}
				var exchange *transport.Error
				g.Expect(errors.As(err, &exchange)).To(gomega.BeTrue(), "got a response: %v", response)
				g.Expect(exchange.MaybeSent).To(gomega.BeTrue(), "the request may have run")
			})
		}
	}
}

// Guards against heads that pass the check of the status because their status stands elsewhere, or because they are too short for
// one that says something.
func TestHeadsWithoutAStatusLineAreErrors(t *testing.T) {
	options := transport.Options{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4}
	for _, head := range []string{
		"HTTP/1.1 0\n\n", "HTTP/1.1 \n\n", "X 0\n\n", "X 0\r\n\r\n", "X 000 ab 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/111 200 OK\r\nContent-Length: 2\r\n\r\nok", "XTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			g := gomega.NewWithT(t)
			request := &transport.Request{Head: &protocol.Request{}}
			request.Head.SetRequestURI("/x")
			request.Head.Header.SetHost("h")
			pending, err := transport.NewPool(serveRaw(t, head), options, &transport.Stats{}).Send(t.Context(), request)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			response, err := pending.Await()
			var exchange *transport.Error
			g.Expect(errors.As(err, &exchange)).To(gomega.BeTrue(), "got a response: %v", response)
			g.Expect(exchange.MaybeSent).To(gomega.BeTrue(), "the request may have run")
		})
	}
}
