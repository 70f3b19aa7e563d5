package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/hop"
	"agatepulley.example/agatepulley/pkg/kernel"
	"agatepulley.example/agatepulley/pkg/news"
	"agatepulley.example/agatepulley/pkg/platform"
)

// endpointNews is what an owner tells about one of its endpoints.
type endpointNews struct {
	Service string   `json:"service"`
	Load    hop.Load `json:"load"`
}

// subscribe connects the news to the parts of the node that act on them.
func (n *Node) subscribe() {
	n.news.Subscribe(news.KindHost, n.hostNews)
	n.news.Subscribe(news.KindEndpoint, n.endpointNews)
	n.news.Subscribe(news.KindFingerprint, n.fingerprintNews)
}

// hostNews takes a report on a host: the host's own, or what another node read in the host list.
func (n *Node) hostNews(item news.Item) {
	leaving := item.State == news.StateLeaving
	if item.Origin == item.Subject {
		n.hosts.ObserveHost(item.Subject, item.Incarnation, item.Sequence, leaving)
		return
	}
	n.hosts.ObserveList(item.Subject, leaving)
}

func (n *Node) endpointNews(item news.Item) {
	var data endpointNews
	if err := json.Unmarshal(item.Data, &data); err != nil {
		n.logger.Warn("decode endpoint news", "origin", item.Origin, "error", err)
		return
	}
	n.ingress.ObserveLoad(data.Service, item.Subject, data.Load)
}

func (n *Node) fingerprintNews(item news.Item) {
	var record quarantine.Record
	if err := json.Unmarshal(item.Data, &record); err != nil {
		n.logger.Warn("decode fingerprint news", "origin", item.Origin, "error", err)
		return
	}
	n.suspects.Learn(record)
}

// publish sends news to the other nodes.
func (n *Node) publish(kind news.Kind, subject, state string, data any) {
	if err := n.news.Publish(kind, subject, state, data); err != nil {
		n.logger.Error("publish news", "kind", string(kind), "subject", subject, "error", err)
	}
}

// publishLoad tells the other nodes of a change of an own endpoint.
func (n *Node) publishLoad(endpoint string, load hop.Load) {
	snapshot := n.store.Current()
	if snapshot == nil {
		return
	}
	ref, ok := snapshot.Endpoint(endpoint)
	if !ok {
		return
	}
	n.ingress.ObserveLoad(ref.Service.Name, endpoint, load)
	n.publish(news.KindEndpoint, endpoint, string(load.State), endpointNews{Service: ref.Service.Name, Load: load})
}

func (n *Node) publishSuspect(record quarantine.Record) {
	n.publish(news.KindFingerprint, record.Fingerprint, news.StateSuspected, record)
}

const (
	listWait       = 30 * time.Second
	listRetryDelay = time.Second
	// minListInterval bounds the rate of watches that are answered at once.
	minListInterval = 250 * time.Millisecond
)

// hostList watches the list of live and leaving hosts and passes changes on. Only the nodes that hold a watch on the
// configuration service do so.
type hostList struct {
	node   *Node
	client *platform.Client
	known  map[string]platform.State
	cancel context.CancelFunc
	done   chan struct{}
}

func newHostList(n *Node) *hostList {
	l := &hostList{node: n, known: make(map[string]platform.State), done: make(chan struct{})}
	if n.settings.HostList != "" {
		l.client = platform.NewClient(n.settings.HostList, 0)
	}
	return l
}

// Start begins the watch.
func (l *hostList) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go l.run(ctx)
	return nil
}

// Stop ends the watch.
func (l *hostList) Stop(ctx context.Context) error {
	l.cancel()
	return kernel.AwaitClosed(ctx, l.done, "host list watch")
}

func (l *hostList) run(ctx context.Context) {
	defer close(l.done)
	if l.client == nil {
		return
	}
	defer l.client.Close()
	var revision uint64
	for ctx.Err() == nil {
		started := time.Now()
		if l.node.syncer.Reads() {
			revision = l.watch(ctx, revision)
		}
		clock.Sleep(ctx, listPause(started, revision))
	}
}

func listPause(started time.Time, revision uint64) time.Duration {
	if revision == 0 {
		return listRetryDelay
	}
	return minListInterval - time.Since(started)
}

// watch waits for the next revision and returns it, or zero after a failure.
func (l *hostList) watch(ctx context.Context, revision uint64) uint64 {
	list, err := l.read(ctx, revision)
	switch {
	case errors.Is(err, platform.ErrUnchanged):
		return revision
	case err != nil:
		l.node.logger.Warn("read host list", "error", err)
		return 0
	}
	for _, host := range list.Hosts {
		l.observe(host)
	}
	return list.Revision
}

func (l *hostList) read(ctx context.Context, revision uint64) (platform.HostList, error) {
	if revision == 0 {
		return l.client.Hosts(ctx)
	}
	return l.client.WatchHosts(ctx, revision, listWait)
}

func (l *hostList) observe(host platform.Host) {
	before, known := l.known[host.ID]
	if before == host.State || (!known && host.State == platform.Live) {
		l.known[host.ID] = host.State
		return
	}
	l.known[host.ID] = host.State
	leaving := host.State == platform.Leaving
	state := news.StateServing
	if leaving {
		state = news.StateLeaving
	}
	// A change that another reader has already spread is not news.
	if l.node.hosts.ObserveList(host.ID, leaving) && host.ID != l.node.settings.HostID {
		l.node.publish(news.KindHost, host.ID, state, nil)
	}
}
