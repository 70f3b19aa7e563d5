package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against links that exist in one direction only, and against hosts with far more or fewer links than the others.
func TestLinksAreSymmetricAndEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]string, rapid.IntRange(100, 400).Draw(t, "hosts"))
		offset := rapid.IntRange(0, 60000).Draw(t, "offset")
		for n := range hosts {
			hosts[n] = fmt.Sprintf("10.1.%d.%d", (offset+n)/250, (offset+n)%250+1)
		}
		const wanted = 32
		share := wanted / float64(len(hosts))
		for _, a := range hosts {
			links := 0
			for _, b := range hosts {
				if Linked(a, b, share) != Linked(b, a, share) {
					t.Fatalf("link between %s and %s is one-sided", a, b)
				}
				if a != b && Linked(a, b, share) {
					links++
				}
			}
			// 34 is six standard deviations of the number of links.
			if links < wanted-34 || links > wanted+34 {
				t.Fatalf("%s has %d links, %d are wanted", a, links, wanted)
			}
		}
		if !Linked(hosts[0], hosts[1], 1) {
			t.Fatal("two hosts are not linked at a share of 1")
		}
	})
}

// Guards against hosts that change many of their links whenever a host joins the fleet.
func TestLinksStayWhenTheShareChangesALittle(t *testing.T) {
	changed := 0
	for n := range 1000 {
		a, b := fmt.Sprintf("10.1.0.%d", n), fmt.Sprintf("10.2.0.%d", n)
		before, after := Linked(a, b, 24.0/100), Linked(a, b, 24.0/101)
		if after && !before {
			t.Fatalf("%s and %s are linked by a smaller share", a, b)
		}
		if before != after {
			changed++
		}
	}
	if changed > 20 {
		t.Fatalf("%d of 1000 links changed", changed)
	}
}

// Guards against RanksBefore and Rank ordering the same ids differently.
func TestBeforeAgreesWithRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z0-9.]{1,12}"), 2, 20, rapid.ID).Draw(t, "ids")
		key := rapid.String().Draw(t, "key")
		ranked := Rank(key, ids)
		for n := 1; n < len(ranked); n++ {
			if !RanksBefore(key, ranked[n-1], ranked[n]) || RanksBefore(key, ranked[n], ranked[n-1]) {
				t.Fatalf("%q and %q are not in the order of their ranks", ranked[n-1], ranked[n])
			}
		}
	})
}
