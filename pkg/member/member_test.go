package member

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/discovery"
	"agatepulley.example/agatepulley/pkg/telemetry"
)

// noStore answers nothing. The node of these tests is not started.
type noStore struct{ discovery.Store }

func newMember(t *testing.T) *Member {
	log, err := telemetry.NewLog(io.Discard, telemetry.FormatJSON, "error")
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(&Settings{
		Name: "n", IP: "127.0.0.1", Zone: "z", CallerListen: "127.0.0.1:1", HopListen: "127.0.0.1:2", AdminListen: "127.0.0.1:3",
		PeerPort: 4, BackendAddress: "127.0.0.1:5", Service: "s", StoreAddress: "127.0.0.1:6", StopTimeout: time.Second,
		RetryRatio: 0.2, RetryConstant: 10, RetryWindow: 10 * time.Second,
	}, Platform{Store: noStore{}}, log)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// Guards against a second run of a request: a process that has been restarted does not know what its predecessor sent,
// so it must not report an attempt as not run.
func TestRestartedNodeDoesNotVouchForItsPredecessor(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMember(t)
	ask := func(incarnation uint64) attempts.State {
		params, err := json.Marshal(attemptParams{Attempt: "a", Incarnation: incarnation})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		got, err := m.attemptHandler(m.dispatcher.Inquire)(context.Background(), "", params)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return got.(attemptResult).State
	}
	g.Expect(ask(m.incarnation - 1)).To(gomega.Equal(attempts.Unknown))
	g.Expect(ask(m.incarnation)).To(gomega.Equal(attempts.NotRun))
}
