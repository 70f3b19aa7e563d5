package membership

// Regions holds the region of each zone. Zones that it does not name are all in one region.
type Regions map[string]string

// Of returns the region of a zone.
func (r Regions) Of(zone string) string {
	return r[zone]
}

// Several reports whether there is more than one region.
func (r Regions) Several() bool {
	for _, region := range r {
		for _, other := range r {
			if region != other {
				return true
			}
		}
		return false
	}
	return false
}
