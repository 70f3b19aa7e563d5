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

// Ways in which the server answers a request.
const (
	whole      = "whole"
	cutLength  = "cut length"
	cutChunk   = "cut chunk"
	late       = "late"
	duplicated = "duplicated"
	closed     = "closed"
)

// lateness is a little longer than the client waits, so that the answer arrives while the next request waits for its own.
const (
	clientWait = 10 * time.Millisecond
	lateness   = 15 * time.Millisecond
)

func bodyOf(path string) string {
	return strings.Repeat(path+" ", 20)
}

// misbehave answers each request on a connection as its path says: /WAY/ID.
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
		case cutLength:
			_, _ = io.WriteString(conn, answer[:len(answer)-5])
			return
		case cutChunk:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
			return
		case late:
			time.Sleep(lateness)
		case duplicated:
			answer += answer
		case closed:
			return
		}
		_, _ = io.WriteString(conn, answer)
	}
}

// Guards against an answer to another request, and against a cut answer taken for a whole one, under late, duplicated
// and cut answers on shared connections.
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
		ways := rapid.SliceOfN(rapid.SampledFrom([]string{whole, whole, cutLength, cutChunk, late, duplicated, closed}), 1, 12).Draw(t, "ways")
		lanes := rapid.IntRange(1, 3).Draw(t, "lanes")
		var wrong sync.Map
		var wg sync.WaitGroup
		for lane := range lanes {
			wg.Go(func() {
				for n := lane; n < len(ways); n += lanes {
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

func fetch(pool *transport.Pool, path string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientWait)
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
