package relay_test

import (
	"cmp"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/test/mock"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/routing"
	"agatepulley.example/agatepulley/pkg/relay"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// head parses the head of a request as the server does.
func head(t interface{ Fatalf(string, ...any) }, text string) *protocol.Request {
	r := &protocol.Request{}
	if err := req.ReadHeader(&r.Header, mock.NewZeroCopyReader(text)); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	return r
}

func table(prefixes ...string) *routing.Table {
	c := &routing.Config{Version: 1, Services: []routing.Service{{Name: "s"}}}
	for _, prefix := range prefixes {
		c.Routes = append(c.Routes, routing.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Kind: routing.Safe, Timeout: time.Second, Attempts: 1,
			Targets: []routing.Target{{Service: "s", Weight: 1}},
		})
	}
	return routing.NewTable(c)
}

// Guards against requests that are treated as those of a route below which the endpoint does not see them: they would be
// repeated although they may run only once, or reach the service of another route.
func TestMatchedPrefixBeginsTheForwardedTarget(t *testing.T) {
	pieces := rapid.SampledFrom([]string{"/", "//", "a", "b", "adm", ".", "..", "%2F", "%2f", "%2e", "%2E%2E", "%61", ";x", "?", "#", "%", "%zz", "\\"})
	routes := table("/", "/a/", "/a/b/", "/adm/", "/b/")
	rapid.Check(t, func(t *rapid.T) {
		target := strings.Join(rapid.SliceOfN(pieces, 0, 8).Draw(t, "pieces"), "")
		switch rapid.SampledFrom([]string{"origin", "absolute", "as it is"}).Draw(t, "form") {
		case "origin":
			target = "/" + target
		case "absolute":
			target = "http://h.example" + target
		}
		if target == "" {
			return
		}
		r := head(t, "GET "+target+" HTTP/1.1\r\nHost: h.example\r\n\r\n")
		sent := relay.TargetOf(&r.Header)
		route := routes.Match(sent.Host, sent.Path())
		forwarded := string(relay.RequestHead(r).Header.RequestURI())
		if route != nil && !strings.HasPrefix(forwarded, route.Prefix) {
			t.Fatalf("%q matches %s and is forwarded as %q", target, route.Prefix, forwarded)
		}
		if strings.HasPrefix(target, "/") && forwarded != target {
			t.Fatalf("%q is forwarded as %q", target, forwarded)
		}
	})
}

// Guards against routes found by a decoded or normalized path.
func TestRoutesAreMatchedOnTheBytesSent(t *testing.T) {
	routes := table("/pufi/", "/pufi/preview/", "/adm/")
	for target, want := range map[string]string{
		"/pufi//preview/17":              "/pufi/",
		"/pufi/preview%2F17":             "/pufi/",
		"/pufi/preview/17":               "/pufi/preview/",
		"/pufi/../adm/x":                 "/pufi/",
		"/pufi/..%2Fadm/x":               "/pufi/",
		"/pufi/%2e%2e/adm/x":             "/pufi/",
		"/pufi/x?next=/adm/":             "/pufi/",
		"//adm/x":                        "",
		"/%61dm/x":                       "",
		"/adm":                           "",
		"*":                              "",
		"http://h.example/adm/x":         "/adm/",
		"HTTP://h.example/pufi/?http://": "/pufi/",
		"http://other.example/adm/x":     "",
	} {
		sent := relay.TargetOf(&head(t, "GET "+target+" HTTP/1.1\r\nHost: h.example\r\n\r\n").Header)
		got := ""
		if route := routes.Match(sent.Host, sent.Path()); route != nil {
			got = route.Prefix
		}
		gomega.NewWithT(t).Expect(got).To(gomega.Equal(want), target)
	}
}

// Guards against a second field of a caller beside the one that the system sets, in any case and order.
func TestSetOnlyLeavesOneField(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		names := rapid.SampledFrom([]string{"X-Own", "x-own", "X-OWN", "x-oWN", "Other"})
		text := "GET / HTTP/1.1\r\nHost: h\r\n"
		for _, name := range rapid.SliceOfN(names, 0, 6).Draw(t, "fields") {
			text += name + ": forged\r\n"
		}
		h := &relay.RequestHead(head(t, text+"\r\n")).Header
		relay.SetOnly(h, "X-Own", "set")
		g.Expect(h.GetAll("X-Own")).To(gomega.Equal([]string{"set"}))
		g.Expect(strings.Count(strings.ToLower(string(h.Header())), "x-own:")).To(gomega.Equal(1))
	})
}
