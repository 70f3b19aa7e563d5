package transport_test

import (
	"bufio"
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/pkg/transport"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AGATEPULLEY_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Ways in which the server responds to a request: completely; with a body that ends before its announced length or
// before its last chunk; after the client's deadline; twice; or by closing the connection.
const (
	complete        = "whole"
	truncatedLength = "cut length"
	truncatedChunks = "cut chunk"
	late            = "late"
	duplicated      = "duplicated"
	closed          = "closed"
)

// lateDelay is a little longer than the client's timeout, so that a late response arrives while the next request waits
// for its own.
const (
	clientTimeout = 10 * time.Millisecond
	lateDelay     = 15 * time.Millisecond
)

// bodyOf returns the response body for a request path, which differs from path to path.
func bodyOf(path string) string {
	return strings.Repeat(path+" ", 20)
}

// misbehave responds to each request on a connection in the way that its path names: /WAY/ID.
func misbehave(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text := bodyOf(request.URL.Path)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		switch way := strings.Split(request.URL.Path, "/")[1]; way {
		case truncatedLength:
			_, _ = io.WriteString(conn, answer[:len(answer)-5])
			return
		case truncatedChunks:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
			return
		case late:
			time.Sleep(lateDelay)
		case duplicated:
			answer += answer
		case closed:
			return
		}
		_, _ = io.WriteString(conn, answer)
	}
}

// Guards against returning the response to another request, and against accepting a truncated response as complete,
// when connections are reused and responses are late, duplicated or truncated.
func TestAnswersAreWholeAndBelongToTheirRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go misbehave(conn)
			}
		}()
		options := transport.Options{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4}
		pool := transport.NewPool(listener.Addr().String(), options, &transport.Stats{})
		defer pool.Close()
		ways := rapid.SliceOfN(rapid.SampledFrom([]string{complete, complete, truncatedLength, truncatedChunks, late, duplicated, closed}), 1, 12).Draw(t, "ways")
		workers := rapid.IntRange(1, 3).Draw(t, "workers")
		var wrong sync.Map
		var wg sync.WaitGroup
		for worker := range workers {
			wg.Go(func() {
				for n := worker; n < len(ways); n += workers {
					path := fmt.Sprintf("/%s/%d", strings.ReplaceAll(ways[n], " ", "%20"), n)
					if got, err := fetch(pool, path); err == nil && got != bodyOf(strings.ReplaceAll(path, "%20", " ")) {
						wrong.Store(path, got)
					}
				}
			})
		}
		wg.Wait()
		wrong.Range(func(path, got any) bool {
			t.Errorf("%s was answered with %.60q", path, got)
			return true
		})
	})
}

// fetch sends a request and returns the body of its response, or an error after clientTimeout.
func fetch(pool *transport.Pool, path string) (string, error) {
	return fetchWithin(pool, path, clientTimeout)
}

func fetchWithin(pool *transport.Pool, path string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	head := &protocol.Request{}
	head.Header.SetMethod("GET")
	head.Header.SetRequestURI(path)
	head.Header.SetHost("test")
	pending, err := pool.Send(ctx, &transport.Request{Head: head})
	if err != nil {
		return "", err
	}
	response, err := pending.Await()
	if err != nil {
		return "", err
	}
	defer response.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}
