package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/memory"
	"agatepulley.example/agatepulley/pkg/transport"
)

// Guards against responses that fill the memory while their callers do not read them: beyond the memory for all of them, only a
// small part is read, and the rest waits at the endpoint.
func TestResponsesAreReadAheadWithinMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	large := bytes.Repeat([]byte("film"), 1<<18)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(large) }))
	defer backend.Close()
	pool := transport.NewPool(backend.Listener.Addr().String(), transport.Options{ConnectTimeout: time.Second}, &transport.Stats{})
	const room = 3
	budget := memory.NewBudget(room * responseBufferBytes)
	var answers []*answer
	for range 10 {
		ctx, cancel := context.WithCancel(t.Context())
		request := &transport.Request{Head: &protocol.Request{}}
		request.Head.SetRequestURI("/scan")
		request.Head.Header.SetHost("h")
		pending, err := pool.Send(ctx, request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := pending.Await()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		a := &answer{response: response, pick: &pick{}, cancel: cancel}
		g.Expect(a.readPrefix(budget)).To(gomega.BeNil())
		answers = append(answers, a)
	}
	held := 0
	for n, a := range answers {
		held += len(a.prefix)
		rest, err := io.ReadAll(a.response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(bytes.Equal(append(a.prefix, rest...), large)).To(gomega.BeTrue(), "response %d", n)
		a.close()
	}
	g.Expect(held).To(gomega.BeNumerically("<=", room*responseBufferBytes+len(answers)*smallResponseBytes))
	g.Expect(budget.Available()).To(gomega.BeEquivalentTo(room * responseBufferBytes))
}
