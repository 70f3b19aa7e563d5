package quotas

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/core/quota"
)

func messages() []quota.Message {
	slot := quota.SlotOf("hule930")
	limit := quota.Limit{Rate: 184, Burst: 184}
	return []quota.Message{
		{Kind: quota.Ask, Slot: slot, Sequence: 70000, Workspace: "hule930", Limit: limit, Version: 12, Need: 3, Extra: 1},
		{Kind: quota.Grant, Slot: slot, Sequence: 70000, Workspace: "hule930", Tokens: 2, Wait: 150 * time.Millisecond, Holder: "10.128.0.9"},
		{Kind: quota.Campaign, Slot: 5, Sequence: 9, Incarnation: 1796594730000000000},
		{Kind: quota.Vote, Slot: 5, Sequence: 9, Granted: true, Quiet: time.Minute},
		{Kind: quota.Withdraw, Slot: 5, Sequence: 9, Incarnation: 1796594730000000000},
	}
}

// Guards against messages that another node misreads, or that are larger than the traffic between nodes allows for.
func TestMessagesSurviveTheirDatagram(t *testing.T) {
	for _, m := range messages() {
		g := gomega.NewWithT(t)
		notice, err := encode(m)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Logf("kind %d: %d bytes", m.Kind, len(notice))
		g.Expect(len(notice)).To(gomega.BeNumerically("<=", 70))
		g.Expect(Owns(notice)).To(gomega.BeTrue())
		got, err := decode(notice)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal(m))
	}
}

// Guards against a message that changes what a node holds although it makes no sense.
func TestMessagesOutOfRangeAreRefused(t *testing.T) {
	ask := messages()[0]
	for name, change := range map[string]func(m *quota.Message){
		"slot that does not exist": func(m *quota.Message) { m.Slot = quota.Slots },
		"negative slot":            func(m *quota.Message) { m.Slot = -1 },
		"slot of another":          func(m *quota.Message) { m.Slot = (m.Slot + 1) % quota.Slots },
		"negative need":            func(m *quota.Message) { m.Need = -1 },
		"negative tokens":          func(m *quota.Message) { m.Tokens = -1 },
		"no rate":                  func(m *quota.Message) { m.Limit.Rate = 0 },
		"negative burst":           func(m *quota.Message) { m.Limit.Burst = -1 },
		"no workspace":             func(m *quota.Message) { m.Workspace = "" },
	} {
		t.Run(name, func(t *testing.T) {
			m := ask
			change(&m)
			notice, err := encode(m)
			gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
			_, err = decode(notice)
			gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred())
		})
	}
}

// Guards against a datagram that ends the process.
func FuzzDecode(f *testing.F) {
	for _, m := range messages() {
		notice, _ := encode(m)
		f.Add(notice)
	}
	f.Fuzz(func(_ *testing.T, notice []byte) { _, _ = decode(notice) })
}
