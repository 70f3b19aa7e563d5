package hostlist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/platform"
	"agatepulley.example/agatepulley/standin/hostlist"
)

const hangGuard = time.Minute

// Guards against a stand-in, or a client, that deviates from the protocol of docs/platform.md, and against a list
// without the lag that the platform has.
func TestProtocol(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	service := hostlist.New()
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	client := platform.NewClient(server.URL, hangGuard)
	defer client.Close()
	put := func(path, body string) int {
		request, _ := http.NewRequest(http.MethodPut, server.URL+path, strings.NewReader(body))
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.Body.Close()).To(gomega.Succeed())
		return response.StatusCode
	}
	g.Expect(put("/admin/hosts/h1", `{"address":"10.0.0.1","zone":"z1"}`)).To(gomega.Equal(200))
	list, err := client.Hosts(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	want := platform.Host{ID: "h1", Address: "10.0.0.1", Zone: "z1", State: platform.Live}
	g.Expect(list).To(gomega.Equal(platform.HostList{Revision: 1, Hosts: []platform.Host{want}}))
	_, err = client.WatchHosts(ctx, 1, 0)
	g.Expect(err).To(gomega.MatchError(platform.ErrUnchanged))
	g.Expect(put("/admin/fault", `{"lag_ms":3600000}`)).To(gomega.Equal(200))
	g.Expect(put("/admin/hosts/h1/state", `{"state":"gone"}`)).To(gomega.Equal(400))
	g.Expect(put("/admin/hosts/h1/state", `{"state":"leaving"}`)).To(gomega.Equal(200))
	_, err = client.WatchHosts(ctx, 1, 0)
	g.Expect(err).To(gomega.MatchError(platform.ErrUnchanged), "the lag has no effect")
	g.Expect(put("/admin/fault", `{"lag_ms":1}`)).To(gomega.Equal(200))
	g.Expect(put("/admin/hosts/h1/state", `{"state":"leaving"}`)).To(gomega.Equal(200))
	list, err = client.WatchHosts(ctx, 1, hangGuard)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(list.Hosts[0].State).To(gomega.Equal(platform.Leaving))
	service.SetFault(hostlist.Fault{Down: true})
	_, err = client.Hosts(ctx)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("status 503")))
}
