// Package grant keeps the quotas of workspaces over all instances.
//
// Each workspace has one owner among the ready edge instances, which holds its token
// bucket. An instance that has no token asks the owner with a datagram. While the owner
// doesn't answer, the instance uses its part: a rate that the owner has told it before,
// and that the owner charges to the bucket while the instance is silent. Once the part is
// used up, the instance asks the deputy, which takes over if the owner leaves and grants
// a small rate until then.
//
// A new owner doesn't know what its predecessor granted. During a ramp of rampTime it
// grants less than the quota, unless a Handover tells it.
//
// Bucket, Owner, Placement and Holder decide. They read no clock and use no network: each call
// has the time as an argument, which must not go back. They are not safe for concurrent
// use. Service connects them to requests, datagrams and the view of the fleet.
package grant

import (
	"time"

	"github.com/snipefront/snipefront"
)

const (
	// tokenLife is the time for which an instance may use a token, from its question on.
	tokenLife = time.Second
	// partLife is the time for which an instance may use its part, from the question on
	// whose answer named it. A view drops an instance within 2 s of its last contact and is
	// in force everywhere within another 2 s.
	partLife = 4 * time.Second
	// rampTime is the length of the ramp. After it, no grants and parts of an earlier owner
	// are left: all instances have applied the view that named the new owner.
	rampTime = 2 * time.Second
	// stallLength is the time without a call from which an Owner counts as stalled.
	stallLength = 900 * time.Millisecond
	// callInterval is the shortest time between two calls of an instance that was denied.
	callInterval = 200 * time.Millisecond
)

// The shares of the overshoot. The overshoot is what QuotaLimit allows in a window beyond
// the quota itself. What the shares leave is for the time until the owner notices that an
// instance is silent, and for rounding.
const (
	// deputyRateShare and deputyBurstShare are for the deputy, in each window.
	deputyRateShare, deputyBurstShare = 0.2, 0.2
	// rampShare is for what a new owner grants at least during the ramp.
	rampShare = 0.35
	// returnRateShare and returnBurstShare are for tokens that are returned, in each window.
	returnRateShare, returnBurstShare = 0.05, 0.1
	// creditShare is what a new owner begins with, if that is no more than a token.
	creditShare = 0.05
	// restartShare is what an owner adds once it knows that all instances have just started:
	// none has granted anything in the ramp, so that most of rampShare is left.
	restartShare = rampShare / 2
	// startShare is for what all instances together admit after the start of a whole fleet,
	// before an owner has answered. It uses what the deputy has in normal operation; the quota
	// of the time in which no process ran is unused, too.
	startShare = deputyRateShare + deputyBurstShare
)

// parameters are calculated from a quota and its limit.
type parameters struct {
	perSecond, burst float64
	// The rates are in tokens per second; the others are tokens.
	deputyRate, deputyBurst float64
	rampRate                float64
	returnRate, returnBurst float64
	credit, maxAdvance      float64
	// restartCredit and startTokens are for the start of a whole fleet.
	restartCredit, startTokens float64
}

func newParameters(l snipefront.QuotaLimit, q snipefront.WorkspaceQuota) parameters {
	window := l.Window.Seconds()
	allowed := q.PerSecond*window + q.Burst
	overshoot := allowed*l.Overage + l.Slack
	return parameters{
		perSecond:   q.PerSecond,
		burst:       max(q.Burst, 1), // no bucket of less than 1 ever has a token
		deputyRate:  min(q.PerSecond, deputyRateShare*overshoot/window),
		deputyBurst: deputyBurstShare * overshoot,
		rampRate:    min(q.PerSecond, rampShare*overshoot/rampTime.Seconds()),
		returnRate:  returnRateShare * overshoot / window,
		returnBurst: returnBurstShare * overshoot,
		credit:      min(1, creditShare*overshoot),
		maxAdvance:  allowed * l.Overage / 2,

		restartCredit: restartShare * overshoot,
		startTokens:   startShare * overshoot,
	}
}

// Ask asks for tokens. It is sent as a datagram.
type Ask struct {
	// Number grows with each question of a session. A resend has the same number.
	Number uint64
	// From is the name of the asking instance.
	From string
	// Session identifies the Holder that asks, and the time since the owner changed.
	Session   uint64
	Workspace string
	// Deputy is true if the asked instance is taken for the deputy, not for the owner.
	Deputy bool `json:",omitempty"`
	// Version is that of the configuration with the quota.
	Version          uint64
	PerSecond, Burst float64
	// Want is the number of requests that wait for a token. Spent and Refused are the
	// numbers of those that have got one of the owner, or of the deputy, and of those that
	// were refused since the last question.
	Want    int
	Spent   int `json:",omitempty"`
	Refused int `json:",omitempty"`
	// Used and Returned count since the session began: the requests that were admitted
	// from the part, and the tokens that were given back.
	Used     uint64 `json:",omitempty"`
	Returned uint64 `json:",omitempty"`
	// Part is the part that the instance may use now, in tokens per second.
	Part float64 `json:",omitempty"`
	// Young is true if the process has started lately and has had no answer of an owner.
	Young bool `json:",omitempty"`
}

// quota returns the quota that a names.
func (a Ask) quota() snipefront.WorkspaceQuota {
	return snipefront.WorkspaceQuota{PerSecond: a.PerSecond, Burst: a.Burst}
}

// Answer answers an Ask.
type Answer struct {
	Number    uint64
	Workspace string
	// Tokens are for the requests that wait, and some in advance.
	Tokens int
	// Wait is positive if there were too few tokens: when to ask again. Rate is then what
	// this instance can expect, in tokens per second.
	Wait time.Duration `json:",omitempty"`
	Rate float64       `json:",omitempty"`
	// Part is what the instance may use while the owner doesn't answer, in tokens per
	// second.
	Part float64 `json:",omitempty"`
	// Other is true if the asked instance isn't the owner, or the deputy.
	Other bool `json:",omitempty"`
}

// Handover tells the next owner what the previous one leaves. The previous one grants
// nothing any more.
type Handover struct {
	Workspace string
	// Index is that of the view that ended the previous one's ownership.
	Index            uint64
	Version          uint64
	PerSecond, Burst float64
	// Level is the number of tokens in the bucket.
	Level float64
	// Left is the part of the rate that no instance may use by itself, in tokens per
	// second.
	Left float64
}
