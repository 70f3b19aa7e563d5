// Package platform is the client of the platform that a fleet runs on: the configuration service and the host list.
// The protocol is described in docs/platform.md.
//
// It uses net/http. hertz's client ignores context deadlines and cancellation, and a read that cannot be abandoned
// would hold up the task that waits for it whenever the configuration service stops answering.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

var (
	// ErrNotFound is returned when the service has no value under a key.
	ErrNotFound = errors.New("no such value")
	// ErrUnchanged is returned when a watch ended without a change.
	ErrUnchanged = errors.New("unchanged")
)

// Limits of calls.
const (
	// DefaultTimeout bounds a call, not counting the time that a watch may wait.
	DefaultTimeout = 2 * time.Second
	// dialTimeout is shorter than the timeout of a call, so that a failed connection attempt is reported as such.
	dialTimeout = time.Second
	// maxValue is the largest value of the configuration service, 1 MB, and the largest error text is far smaller.
	maxValue = 1 << 20
	// maxList bounds the host list. An entry takes about 80 bytes, so that it holds over 100,000 hosts.
	maxList = 16 << 20
	// maxErrorText bounds the part of an error response that is reported.
	maxErrorText = 200
)

// Value is a value of the configuration service.
type Value struct {
	Data []byte
	// Revision changes with each change of the value. It is only compared for equality, because a service that was
	// restored from an old copy may return lower ones.
	Revision uint64
}

// State is the state of a host in the host list.
type State string

// States of a host.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Host is an entry of the host list.
type Host struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   State  `json:"state"`
}

// HostList is one revision of the host list.
type HostList struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// Client calls one of the two services. Calls do not wait for each other. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a client of the service at address, which is IP:PORT or a URL. A timeout of zero means
// DefaultTimeout.
func NewClient(address string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &Client{
		base:    strings.TrimSuffix(address, "/"),
		timeout: timeout,
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Value reads a value. It returns ErrNotFound if there is none.
func (c *Client) Value(ctx context.Context, key string) (Value, error) {
	return c.value(ctx, "/v1/values/"+key, 0)
}

// Watch waits until the revision of a value differs from after. It returns ErrUnchanged when the wait is over.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	return c.value(ctx, "/v1/watch/"+key+watchQuery(after, wait), wait)
}

// Hosts reads the host list.
func (c *Client) Hosts(ctx context.Context) (HostList, error) {
	return c.hosts(ctx, "/v1/hosts", 0)
}

// WatchHosts waits until the revision of the host list differs from after. It returns ErrUnchanged when the wait is
// over.
func (c *Client) WatchHosts(ctx context.Context, after uint64, wait time.Duration) (HostList, error) {
	return c.hosts(ctx, "/v1/hosts/watch"+watchQuery(after, wait), wait)
}

func watchQuery(after uint64, wait time.Duration) string {
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return "?" + query.Encode()
}

func (c *Client) value(ctx context.Context, path string, wait time.Duration) (Value, error) {
	var value Value
	err := c.get(ctx, path, wait, maxValue, func(response *http.Response, body []byte) error {
		revision, err := strconv.ParseUint(response.Header.Get("X-Revision"), 10, 64)
		if err != nil {
			return fmt.Errorf("header X-Revision: %w", err)
		}
		value = Value{Data: body, Revision: revision}
		return nil
	})
	return value, err
}

func (c *Client) hosts(ctx context.Context, path string, wait time.Duration) (HostList, error) {
	var list HostList
	err := c.get(ctx, path, wait, maxList, func(_ *http.Response, body []byte) error {
		if err := json.Unmarshal(body, &list); err != nil {
			return fmt.Errorf("decode host list: %w", err)
		}
		return list.check()
	})
	return list, err
}

func (l *HostList) check() error {
	for i, host := range l.Hosts {
		if host.ID == "" || host.State != Live && host.State != Leaving {
			return fmt.Errorf("hosts[%d]: id %q with state %q; valid: an id and state live or leaving", i, host.ID, host.State)
		}
	}
	return nil
}

// get performs a call within the client's timeout plus the time that a watch may wait, and passes the body to accept.
func (c *Client) get(ctx context.Context, path string, wait time.Duration, limit int64,
	accept func(*http.Response, []byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	err := c.call(ctx, path, limit, accept)
	if err == nil {
		return nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		// Other idle connections may be black-holed like the one that timed out.
		c.http.CloseIdleConnections()
	}
	return fmt.Errorf("get %s%s: %w", c.base, path, err)
}

func (c *Client) call(ctx context.Context, path string, limit int64, accept func(*http.Response, []byte) error) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	// One byte more than the limit shows that a body is too long.
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	switch {
	case response.StatusCode == http.StatusNotFound:
		return ErrNotFound
	case response.StatusCode == http.StatusNotModified:
		return ErrUnchanged
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d: %.*s", response.StatusCode, maxErrorText, body)
	case int64(len(body)) > limit:
		return fmt.Errorf("body is longer than %d bytes", limit)
	}
	return accept(response, body)
}
