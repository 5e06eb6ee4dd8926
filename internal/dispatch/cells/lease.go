package cells

import "time"

const (
	// minLease and maxLease bound the lease of an announcement.
	minLease = 3 * time.Second
	maxLease = 2 * time.Minute
	// announcementsPerLease is how often a backend server announces itself per lease.
	announcementsPerLease = 3
	// maxAnnouncementRate is the number of announcements per second, from all backend
	// servers together, that the lease allows at one instance. More arrive only if there
	// are so many backend servers that the lease would have to be longer than maxLease.
	maxAnnouncementRate = 3
)

// announcementLease returns the lease of an announcement. It grows with the number of
// backend servers known here, so that the rate of their announcements stays bounded.
func (s *Set) announcementLease() time.Duration {
	n := 0
	for _, d := range s.All() {
		n += d.Cell.Size()
	}
	return LeaseFor(n)
}

// LeaseFor returns the lease of an announcement at an instance that knows the given
// number of backend servers.
func LeaseFor(servers int) time.Duration {
	l := time.Duration(servers) * announcementsPerLease * time.Second / maxAnnouncementRate
	return min(max(l, minLease), maxLease)
}
