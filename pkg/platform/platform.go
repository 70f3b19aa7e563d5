// Package platform is the HTTP client of the two services that nodes without --site-settings read: the configuration
// service, which stores values by key, and the host list.
//
// A value is read at /v1/values/KEY and the host list at /v1/hosts; a value's revision is in the response header
// X-Revision. A watch, at /v1/watch/KEY or /v1/hosts/watch, responds as soon as the revision differs from the query
// parameter after, or with status 304 when wait_ms milliseconds have passed.
//
// The client uses net/http because hertz's client ignores context deadlines and cancellation: a read that cannot be
// cancelled would block its task whenever the configuration service stops responding.
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

	"agatepulley.example/agatepulley/pkg/framing"
)

var (
	// ErrNotFound is returned when the service has no value for a key.
	ErrNotFound = errors.New("no value for this key (status 404)")
	// ErrUnchanged is returned when a watch ended without a change.
	ErrUnchanged = errors.New("unchanged")
)

// Limits of calls.
const (
	// DefaultTimeout bounds a call, not counting the time that a watch may wait.
	DefaultTimeout = 2 * time.Second
	// dialTimeout is shorter than DefaultTimeout, so that a connection that cannot be opened is reported as a dial
	// error.
	dialTimeout = time.Second
	// maxValueBytes is the largest size of a value, which the configuration service limits to 1 MiB. Error responses
	// are far smaller.
	maxValueBytes = 1 << 20
	// maxHostListBytes bounds the host list. An entry takes about 80 bytes, so that over 100,000 hosts fit.
	maxHostListBytes = 16 << 20
	// maxHeaderBytes bounds the header of a response, since another kind of server may listen at the address.
	maxHeaderBytes = 64 << 10
	// maxErrorTextBytes bounds the part of an error response that is copied into an error message.
	maxErrorTextBytes = 200
)

// Value is a value of the configuration service.
type Value struct {
	Data []byte
	// Revision changes with each change of the value. It may only be compared for equality, because revisions are lower
	// again after the service was restored from a backup.
	Revision uint64
}

// State says whether a host of the host list stays in service.
type State string

// States of a host.
const (
	Live State = "live"
	// Leaving hosts are about to be taken out of service.
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

// Client calls one of the two services. It is safe for concurrent use; calls run in parallel.
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

		MaxResponseHeaderBytes: maxHeaderBytes,
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

// Watch waits until the revision of a value differs from after and returns the value. It returns ErrUnchanged if that
// does not happen within wait.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	return c.value(ctx, "/v1/watch/"+key+watchQuery(after, wait), wait)
}

// Hosts reads the host list.
func (c *Client) Hosts(ctx context.Context) (HostList, error) {
	return c.hosts(ctx, "/v1/hosts", 0)
}

// WatchHosts waits until the revision of the host list differs from after and returns the list. It returns ErrUnchanged
// if that does not happen within wait.
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
	err := c.get(ctx, path, wait, maxValueBytes, func(response *http.Response, body []byte) error {
		revision, err := strconv.ParseUint(response.Header.Get("X-Revision"), 10, 64)
		if err != nil {
			return fmt.Errorf("response header X-Revision: %w", err)
		}
		value = Value{Data: body, Revision: revision}
		return nil
	})
	return value, err
}

func (c *Client) hosts(ctx context.Context, path string, wait time.Duration) (HostList, error) {
	var list HostList
	err := c.get(ctx, path, wait, maxHostListBytes, func(_ *http.Response, body []byte) error {
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

// get sends a GET request, limited to the client's timeout plus the time that a watch may wait, and passes a response
// with status 200 and its body to accept.
func (c *Client) get(ctx context.Context, path string, wait time.Duration, limit int64,
	accept func(*http.Response, []byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	err := c.call(ctx, path, limit, accept)
	if err == nil {
		return nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		// The network may drop the packets of the other idle connections like those of the one that timed out.
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
	if err := framing.CheckHeader(response.Header); err != nil {
		return err
	}
	// One byte more than the limit is read to detect a body that is too long.
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return fmt.Errorf("read response body: %w", err)
	}
	switch {
	case response.StatusCode == http.StatusNotFound:
		return ErrNotFound
	case response.StatusCode == http.StatusNotModified:
		return ErrUnchanged
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d: %.*s", response.StatusCode, maxErrorTextBytes, body)
	case int64(len(body)) > limit:
		return fmt.Errorf("response body is longer than %d bytes", limit)
	}
	return accept(response, body)
}
