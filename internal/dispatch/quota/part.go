package quota

import (
	"slices"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/owner"
)

const (
	// minPerSecond is the lowest limit that is kept, in requests per second. Without any
	// request to a backend server no answer would show that its limit has ended.
	minPerSecond = 0.1
	// maxLocalPart is the part of a limit, in requests per second, up to which only
	// instances in the data centre of the backend server have one. Of a larger limit they
	// have localShare, since instances send to other data centres only what their own has
	// no capacity for.
	maxLocalPart = 4
	localShare   = 0.75
)

// Part returns the part of a limit that the instance self may use at a backend server, in
// requests per second: that of a sender, or 0. All instances with the same view of the
// fleet agree on the senders. The name of the backend server takes the place of a service
// in the choice of the senders.
//
// The number of senders is 1 plus the limit, rounded down: each may save up one request
// and a half, and the sum of these must stay small beside the limit.
func Part(limit float64, instances snipefront.Epoch, self snipefront.Instance, server snipefront.Cell) float64 {
	limit = max(limit, minPerSecond)
	local := owner.Rank(instances, server)
	if len(local) == len(instances.Instances) || limit <= maxLocalPart*float64(len(local)) {
		return partOf(limit, local, self)
	}
	if part := partOf(localShare*limit, local, self); part > 0 {
		return part
	}
	isLocal := func(n snipefront.Instance) bool {
		return slices.ContainsFunc(local, func(l snipefront.Instance) bool { return l.Name == n.Name })
	}
	remote := owner.Rank(instances, snipefront.Cell{Service: server.Service})
	return partOf((1-localShare)*limit, slices.DeleteFunc(remote, isLocal), self)
}

// partOf returns the part of self in a limit that is divided among the first of ranked.
func partOf(limit float64, ranked []snipefront.Instance, self snipefront.Instance) float64 {
	senders := ranked[:min(len(ranked), 1+int(min(limit, float64(len(ranked)))))]
	if !slices.ContainsFunc(senders, func(n snipefront.Instance) bool { return n.Name == self.Name }) {
		return 0
	}
	return limit / float64(len(senders))
}
