package node

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/platform"
)

// fakeList is a host list whose states a spec changes.
type fakeList struct {
	current atomic.Pointer[platform.HostList]
	changed chan struct{}
}

func newFakeList(list platform.HostList) (*fakeList, string) {
	f := &fakeList{changed: make(chan struct{})}
	f.current.Store(&list)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/hosts/watch" {
			select {
			case <-f.changed:
			case <-r.Context().Done():
				return
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(f.current.Load())
	}))
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return f, server.Listener.Addr().String()
}

func (f *fakeList) set(list platform.HostList) {
	f.current.Store(&list)
	close(f.changed)
}

// trio is an ingress node before two owner nodes, each with one backend server.
type trio struct {
	ingress, leaver, stayer *testNode
	url                     string
	hits                    map[string]*atomic.Int32
	list                    *fakeList
	document                *config.Document
}

func startTrio() *trio {
	t := &trio{hits: map[string]*atomic.Int32{"e1": {}, "e2": {}}}
	backends := make(map[string]string)
	for id, hits := range t.hits {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { hits.Add(1) }))
		DeferCleanup(server.Close)
		backends[id] = server.Listener.Addr().String()
	}
	var listAddress string
	t.list, listAddress = newFakeList(hostList3(platform.Live))
	settings := []string{"--config-service", "127.0.0.1:1", "--host-list", listAddress}
	ingress := newSettings("h0", "z1", settings...)
	leaver := newSettings("h1", "z1", append(settings, "--backend", "e1="+backends["e1"])...)
	stayer := newSettings("h2", "z2", append(settings, "--backend", "e2="+backends["e2"])...)
	t.document = &config.Document{
		Format: config.Format, Version: config.Version{Epoch: 1, Sequence: 1},
		Hosts: []config.Host{hostOf(ingress), hostOf(leaver), hostOf(stayer)},
		Services: []config.Service{{
			Name:      "s",
			Claims:    config.ClaimSettings{WindowMS: 5000, Generation: 1, Recorders: []string{"h0"}},
			Endpoints: []config.Endpoint{{ID: "e1", Host: "h1", Slots: 3}, {ID: "e2", Host: "h2", Slots: 3}},
		}},
		Routes: []config.Route{{ID: "all", PathPrefix: "/", Service: "s", Repeatable: true}},
	}
	t.leaver = startNode(leaver, t.document)
	t.stayer = startNode(stayer, t.document)
	t.ingress = startNode(ingress, t.document)
	t.url = "http://" + ingress.Listen
	return t
}

func hostList3(stateOfH1 platform.State) platform.HostList {
	revision := uint64(1)
	if stateOfH1 == platform.Leaving {
		revision = 2
	}
	return platform.HostList{Revision: revision, Hosts: []platform.Host{
		{ID: "h0", Address: "127.0.0.1", Zone: "z1", State: platform.Live},
		{ID: "h1", Address: "127.0.0.1", Zone: "z1", State: stateOfH1},
		{ID: "h2", Address: "127.0.0.1", Zone: "z2", State: platform.Live},
	}}
}

// send makes requests, all of which must be answered, and returns how many reached each backend server.
func (t *trio) send(count int) (e1, e2 int32) {
	before1, before2 := t.hits["e1"].Load(), t.hits["e2"].Load()
	for range count {
		response, err := client().Get(t.url + "/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}
	return t.hits["e1"].Load() - before1, t.hits["e2"].Load() - before2
}

// Guards against work for a host that one of the three sources reports as leaving while the other two lag.
var _ = Describe("a host that leaves", func() {
	for name, leave := range map[string]func(*trio){
		"according to itself":            func(t *trio) { t.leaver.stop() },
		"according to the host list":     func(t *trio) { t.list.set(hostList3(platform.Leaving)) },
		"according to the configuration": publishDraining,
	} {
		It("gets no new work "+name, func() {
			t := startTrio()
			e1, _ := t.send(40)
			Expect(e1).To(BeNumerically(">", 0))
			reported := time.Now()
			leave(t)
			Eventually(func() bool { return t.ingress.hosts.Leaving("h1") }, hangGuard).Should(BeTrue())
			// The time is reported and not judged.
			AddReportEntry("time until another node sends no new work "+name, time.Since(reported).Round(time.Millisecond))
			e1, e2 := t.send(40)
			Expect(e1).To(BeZero())
			Expect(e2).To(Equal(int32(40)))
		})
	}
})

// Guards against requests that are taken late in a planned stop and cut off by the exit.
var _ = Describe("a node that is stopped", func() {
	It("refuses late requests that it might not finish", func() {
		released := make(chan struct{})
		release := sync.OnceFunc(func() { close(released) })
		var runs atomic.Int32
		backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			<-released
		}))
		DeferCleanup(backend.Close)
		DeferCleanup(release)
		settings := newSettings("h0", "z1", "--config-service", "127.0.0.1:1", "--drain-timeout", "3s")
		owner := newSettings("h1", "z1", "--config-service", "127.0.0.1:1", "--backend", "e1="+backend.Listener.Addr().String())
		document := &config.Document{
			Format: config.Format, Version: config.Version{Epoch: 1, Sequence: 1}, Hosts: []config.Host{hostOf(settings), hostOf(owner)},
			Services: []config.Service{{
				Name: "s", Claims: config.ClaimSettings{WindowMS: 5000, Generation: 1, Recorders: []string{"h1"}},
				Endpoints: []config.Endpoint{{ID: "e1", Host: "h1", Slots: 3}},
			}},
			Routes: []config.Route{{ID: "all", PathPrefix: "/", Service: "s", Repeatable: true, DeadlineMS: 10000}},
		}
		startNode(owner, document)
		node := startNode(settings, document)
		get := func() int {
			response, err := client().Get("http://" + settings.Listen + "/x")
			if err != nil {
				return 0
			}
			defer response.Body.Close()
			return response.StatusCode
		}
		early := make(chan int, 1)
		go func() { early <- get() }()
		Eventually(runs.Load, hangGuard).Should(Equal(int32(1)))
		node.stop()
		Eventually(get, hangGuard).Should(Equal(http.StatusServiceUnavailable))
		release()
		Expect(<-early).To(Equal(http.StatusOK))
		Expect(runs.Load()).To(Equal(int32(1)))
	})
})

// publishDraining puts a version in force that drains the host, at the stayer only; the peers pass it on.
func publishDraining(t *trio) {
	draining := *t.document
	draining.Version.Sequence++
	draining.Hosts = append([]config.Host(nil), t.document.Hosts...)
	draining.Hosts[1].Draining = true
	data, err := config.Canonical(&draining)
	Expect(err).NotTo(HaveOccurred())
	_, err = t.stayer.store.Offer("service", data)
	Expect(err).NotTo(HaveOccurred())
}
