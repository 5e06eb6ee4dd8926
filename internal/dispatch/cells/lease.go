package cells

import "time"

const (
	// minLease and maxLease bound for how long an announcement holds.
	minLease = 3 * time.Second
	maxLease = 2 * time.Minute
	// renewals is how often a backend server announces itself within a lease.
	renewals = 3
	// maxAnnouncements is the announcements a second that an instance wants.
	maxAnnouncements = 3
)

// lease returns for how long an announcement holds. It grows with the number of
// backend servers known here, so that their announcements take no more than a
// fixed share of the instance.
func (s *Set) lease() time.Duration {
	n := 0
	for _, d := range s.All() {
		n += d.Cell.Size()
	}
	return LeaseFor(n)
}

// LeaseFor returns the lease of an announcement at an instance that knows the
// given number of backend servers.
func LeaseFor(servers int) time.Duration {
	l := time.Duration(servers) * renewals * time.Second / maxAnnouncements
	return min(max(l, minLease), maxLease)
}
