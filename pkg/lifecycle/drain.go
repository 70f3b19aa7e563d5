package lifecycle

import "time"

// Drain holds the times of a planned stop. From Late on, callers have been told to use another node; at End the process exits.
type Drain struct{ Late, End time.Time }

// Refuses reports whether a request that arrives during the stop is refused, because it might be cut off by the exit. One that
// arrives before Late is accepted in any case, since its caller may know no other node. A nil Drain refuses nothing.
func (d *Drain) Refuses(arrived, deadline time.Time) bool {
	return d != nil && arrived.After(d.Late) && deadline.After(d.End)
}
