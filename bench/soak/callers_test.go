package soak

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against probes that give up before their deadline, since a node that stops meanwhile would be blamed for the cut.
func TestProbesWaitForTheirDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &fleet{basePort: firstPort, network: os.Getpid()}
	listener, err := net.Listen("tcp", f.address(1, portCallers))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(deadline - 200*time.Millisecond)
	})}}
	server.Start()
	defer server.Close()
	probe := newCallers(f, 1).probe(&host{number: 1}, 1)
	g.Expect(probe.err).NotTo(gomega.HaveOccurred())
	g.Expect(probe.status).To(gomega.Equal(http.StatusOK))
}
