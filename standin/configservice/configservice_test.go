package configservice_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/platform"
	"agatepulley.example/agatepulley/standin/configservice"
)

// hangGuard is the wait of watches that are expected to end early.
const hangGuard = time.Minute

func start(t *testing.T) (*configservice.Service, *platform.Client, *httptest.Server) {
	service := configservice.New()
	server := httptest.NewServer(service.Handler())
	client := platform.NewClient(server.URL, hangGuard)
	t.Cleanup(server.Close)
	t.Cleanup(client.Close)
	return service, client, server
}

// Guards against a stand-in, or a client, that deviates from the protocol of docs/platform.md.
func TestProtocol(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	service, client, server := start(t)
	_, err := client.Value(ctx, "agatepulley/config")
	g.Expect(err).To(gomega.MatchError(platform.ErrNotFound))
	request, _ := http.NewRequest(http.MethodPut, server.URL+"/admin/values/agatepulley/config", strings.NewReader("one"))
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.Body.Close()).To(gomega.Succeed())
	value, err := client.Value(ctx, "agatepulley/config")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(value).To(gomega.Equal(platform.Value{Data: []byte("one"), Revision: 1}))
	_, err = client.Watch(ctx, "agatepulley/config", 1, 0)
	g.Expect(err).To(gomega.MatchError(platform.ErrUnchanged))
	service.Put("agatepulley/config", []byte("two"))
	value, err = client.Watch(ctx, "agatepulley/config", 1, hangGuard)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(value.Data)).To(gomega.Equal("two"))
	service.SetFault(configservice.Fault{StaleAt: 1})
	value, err = client.Watch(ctx, "agatepulley/config", 2, hangGuard)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(value.Data)).To(gomega.Equal("one"))
	service.SetFault(configservice.Fault{Down: true})
	_, err = client.Value(ctx, "agatepulley/config")
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("status 503")))
	g.Expect(service.Counts()).To(gomega.Equal(configservice.Counts{Reads: 3, Watches: 3, Refused: 1}))
}

// Guards against a pending watch that misses a change or an outage, and against one that outlives its caller, which
// would make the counted pending watches wrong.
func TestPendingWatchEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	service, client, _ := start(t)
	service.Put("key", []byte("one"))
	results := make(chan error, 1)
	watch := func(ctx context.Context) {
		_, err := client.Watch(ctx, "key", service.Put("key", []byte("x")), hangGuard)
		results <- err
	}
	pending := func() int { return service.Counts().Pending }
	go watch(context.Background())
	g.Eventually(pending, hangGuard).Should(gomega.Equal(1))
	service.Put("key", []byte("two"))
	g.Expect(<-results).To(gomega.Succeed())
	go watch(context.Background())
	g.Eventually(pending, hangGuard).Should(gomega.Equal(1))
	service.SetFault(configservice.Fault{Down: true})
	g.Expect(<-results).To(gomega.MatchError(gomega.ContainSubstring("status 503")))
	service.SetFault(configservice.Fault{})
	ctx, cancel := context.WithCancel(context.Background())
	go watch(ctx)
	g.Eventually(pending, hangGuard).Should(gomega.Equal(1))
	cancel()
	g.Expect(<-results).To(gomega.MatchError(context.Canceled))
	g.Eventually(pending, hangGuard).Should(gomega.Equal(0))
}
