package health

import "time"

// Resume restarts the age of the open requests after the observing process was paused. Otherwise the pause would count
// as time for which the endpoints did not answer.
func (d *Detector) Resume(now time.Duration) {
	for _, e := range d.byID {
		for i := range e.open {
			e.open[i].begin = now
		}
	}
}
