package link_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/standin/link"
)

const hangGuard = 20 * time.Second

// echo starts a server that sends each line back.
func echo(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func start(t *testing.T, conditions link.Conditions) *link.Link {
	g := gomega.NewWithT(t)
	l, err := link.New(link.Settings{
		Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", To: echo(t), Conditions: conditions,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(l.Start()).To(gomega.Succeed())
	t.Cleanup(func() {
		if err := l.Stop(); err != nil {
			t.Error(err)
		}
	})
	return l
}

func dial(t *testing.T, l *link.Link) net.Conn {
	conn, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func roundTrip(g *gomega.WithT, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text+"\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(hangGuard))).To(gomega.Succeed())
	line, err := bufio.NewReader(conn).ReadString('\n')
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(line).To(gomega.Equal(text + "\n"))
}

func send(g *gomega.WithT, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text+"\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against jitter that reorders the bytes of a stream, and a delay that is not applied in both directions.
func TestDelayKeepsTheOrderOfBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	l := start(t, link.Conditions{DelayMS: 2, JitterMS: 5})
	conn := dial(t, l)
	begin := time.Now()
	roundTrip(g, conn, "first")
	g.Expect(time.Since(begin)).To(gomega.BeNumerically(">=", 4*time.Millisecond))
	want := strings.Repeat("0123456789", 20000)
	go func() {
		for rest := want; rest != ""; rest = rest[1000:] {
			if _, err := io.WriteString(conn, rest[:1000]); err != nil {
				return
			}
		}
	}()
	got := make([]byte, len(want))
	_, err := io.ReadFull(conn, got)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(got) == want).To(gomega.BeTrue())
}

// Guards against a one-way loss that loses both directions or none, and a stream that resumes with bytes missing.
func TestLossOfOneDirection(t *testing.T) {
	g := gomega.NewWithT(t)
	l := start(t, link.Conditions{})
	conn := dial(t, l)
	roundTrip(g, conn, "before")
	g.Expect(l.SetConditions(link.Conditions{Lose: link.DirectionToClient})).To(gomega.Succeed())
	before := l.Stats()
	send(g, conn, "lost")
	g.Eventually(l.Stats, hangGuard).Should(gomega.And(
		gomega.HaveField("BytesToServer", before.BytesToServer+5),
		gomega.HaveField("BytesLost", int64(5))))
	g.Expect(l.Stats().BytesToClient).To(gomega.Equal(before.BytesToClient))

	g.Expect(l.SetConditions(link.Conditions{})).To(gomega.Succeed())
	send(g, conn, "late")
	g.Eventually(l.Stats, hangGuard).Should(gomega.HaveField("BytesLost", int64(10)))
	roundTrip(g, dial(t, l), "new")
}

// Guards against silent connections that are closed, which the other side would notice, or that affect new ones.
func TestSilentConnectionsStayOpen(t *testing.T) {
	g := gomega.NewWithT(t)
	l := start(t, link.Conditions{})
	old := dial(t, l)
	roundTrip(g, old, "before")
	response, err := http.Post("http://"+l.AdminAddress()+"/silence", "", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response.Body.Close()
	send(g, old, "lost")
	roundTrip(g, dial(t, l), "new")
	g.Eventually(l.Stats, hangGuard).Should(gomega.And(
		gomega.HaveField("Silent", 1), gomega.HaveField("BytesLost", int64(5))))
	g.Expect(old.SetReadDeadline(time.Now().Add(20 * time.Millisecond))).To(gomega.Succeed())
	_, err = old.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("timeout")))
}

// Guards against a refusal that also ends open connections, and a link that cannot return on the same port.
func TestRefuseAffectsNewConnectionsOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	l := start(t, link.Conditions{})
	conn := dial(t, l)
	roundTrip(g, conn, "before")
	g.Expect(l.SetConditions(link.Conditions{Refuse: true})).To(gomega.Succeed())
	_, err := net.Dial("tcp", l.Address())
	g.Expect(err).To(gomega.HaveOccurred())
	roundTrip(g, conn, "still open")
	g.Expect(l.SetConditions(link.Conditions{})).To(gomega.Succeed())
	roundTrip(g, dial(t, l), "again")
}

// Guards against an end of stream that is not passed on, which would leak connections.
func TestEndOfStreamIsPassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	l := start(t, link.Conditions{})
	conn := dial(t, l)
	roundTrip(g, conn, "before")
	g.Expect(conn.Close()).To(gomega.Succeed())
	g.Eventually(l.Stats, hangGuard).Should(gomega.HaveField("Open", 0))
}
