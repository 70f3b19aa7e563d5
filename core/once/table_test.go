package once

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a recorder that does not recover from members with full tables, although it holds their records, and
// against one that recovers without room for them.
func TestFullTableTakesRecordsThatItHolds(t *testing.T) {
	g := gomega.NewWithT(t)
	const expiry = time.Minute
	fill := func(names ...string) *table {
		filled := newTable(2)
		for _, name := range names {
			filled.put(HashID(name), entry{attempt: HashID(name), expiry: expiry}, 0)
		}
		return filled
	}
	held, _, _ := fill("k1", "k2").page(0, 0)
	other, _, _ := fill("k3").page(0, 0)
	reader := newTable(2)
	g.Expect(reader.merge(held, 0)).To(gomega.BeTrue())
	g.Expect(reader.merge(held, 0)).To(gomega.BeTrue())
	g.Expect(reader.merge(other, 0)).To(gomega.BeFalse())
}
