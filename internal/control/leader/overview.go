package leader

import (
	"sort"
	"time"

	"github.com/snipefront/snipefront/internal/control/state"
)

// Overview is the leader's view of the fleet.
type Overview struct {
	Leader   string
	Term     uint64
	Epoch    uint64
	Settled  uint64
	Revision uint64
	// InForce is true if the revision passed to Overview (not Revision, the latest)
	// exists and Waiting is empty.
	InForce bool
	// Waiting names the lease holders that have not confirmed that revision, and the
	// instances that may hold a lease of an earlier leader.
	Waiting []string
	Members []MemberInfo
	// Claims is the number of stored claims.
	Claims int
}

// MemberInfo is one lease holder.
type MemberInfo struct {
	Name          string
	DataCentre    string
	CallerAddress string
	PeerAddress   string
	Epoch         uint64
	Revision      uint64
	Leaving       bool
}

// History holds the accepted changes of the configuration, oldest first.
type History struct {
	Changes []state.Change
}

// Overview returns the leader's view of the fleet at the instant now. InForce and
// Waiting refer to revision. If this instance does not lead, ok is false.
func (l *Leader) Overview(now time.Time, revision uint64) (v Overview, ok bool) {
	inForce, waiting, ok := l.InForce(now, revision)
	if !ok {
		return Overview{}, false
	}
	ld := l.Log.Leadership()
	v = Overview{
		Leader:   ld.Leader,
		Term:     ld.Term,
		Epoch:    l.State.Epoch().Number,
		Revision: l.State.Revision(),
		InForce:  inForce,
		Waiting:  waiting,
		Claims:   l.State.Claims(),
	}
	sort.Strings(v.Waiting)
	l.mu.Lock()
	defer l.mu.Unlock()
	v.Settled = l.settled(now)
	for _, m := range l.table.members {
		v.Members = append(v.Members, MemberInfo{
			Name:          m.Instance.Name,
			DataCentre:    m.Instance.DataCentre,
			CallerAddress: m.Instance.CallerAddress,
			PeerAddress:   m.Instance.PeerAddress,
			Epoch:         m.Epoch,
			Revision:      m.Revision,
			Leaving:       m.Leaving,
		})
	}
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].Name < v.Members[j].Name })
	return v, true
}
