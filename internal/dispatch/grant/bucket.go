package grant

import (
	"math"
	"time"

	"github.com/snipefront/snipefront"
)

const (
	// sweepInterval is the time between two checks of all clients.
	sweepInterval = 20 * time.Millisecond
	// clientLife is the time for which a client is remembered.
	clientLife = 20 * time.Second
	// maxWait is the time after which a client may ask again in any case, and minWait the
	// one before which it doesn't.
	maxWait = 2 * time.Second
	minWait = 20 * time.Millisecond
	// minPromiseRate is the lowest demand, in tokens per second, of a client that is
	// promised tokens. A client with less may have no request when they become available.
	minPromiseRate = 2
	// restartClients is the number of clients, all of them young, that show that no other
	// owner has granted anything lately.
	restartClients = 5
	// minRate is the lowest rate, in tokens per second, that a wait is calculated with.
	minRate = 1e-6
	// advanceTime is the time for which a client gets tokens in advance.
	advanceTime = 500 * time.Millisecond
)

// Bucket is the token bucket of one workspace, as its owner or its deputy holds it. The
// tokens in the bucket, those granted in advance and those set aside for silent clients are
// at most the burst. So what is granted in any time is at most the quota of that time and a
// burst, but for what clients use from their parts before they count as silent.
type Bucket struct {
	limit      snipefront.QuotaLimit
	version    uint64
	quota      snipefront.WorkspaceQuota
	parameters parameters
	// reduced is true if only the deputy's rate may be granted.
	reduced bool
	// started is when the process of the owner started, and begun when it became the owner. In
	// the start of a whole fleet no instance has granted anything between the two.
	started, begun time.Time
	// rampUntil is the end of the ramp, in which instances may still use what an earlier
	// owner granted. Until then, only what is known to be left is granted.
	rampUntil time.Time
	// left is the rate that a Handover leaves during the ramp, and surrendered the sum of
	// the parts of clients that have asked in it.
	left, surrendered float64
	// newClients counts the clients that were first heard in the ramp, and newYoung those of
	// them that were young.
	newClients, newYoung int
	// level is negative if clients have used more than was there.
	level          float64
	updated, swept time.Time
	clients        map[string]*client
	// The sums over all clients, parts and demand in tokens per second. refundable is what
	// was charged to silent clients that may report less.
	promised, advances, parts, demand, refundable float64
	// returns is the number of returned tokens that may be added now.
	returns float64
}

// newBucket returns the bucket of the owner, or of the deputy, that an instance has been
// since begun. It is empty at first. The process of the instance has run since started.
func newBucket(started, begun time.Time, l snipefront.QuotaLimit, a Ask) *Bucket {
	b := &Bucket{limit: l, reduced: a.Deputy, started: started, begun: begun, rampUntil: begun.Add(rampTime), updated: begun, clients: map[string]*client{}}
	b.setQuota(a.Version, a.quota())
	b.returns = b.parameters.returnBurst
	return b
}

// addCredit adds what a new owner begins with, so that a workspace with few requests needn't
// wait for the first token.
func (b *Bucket) addCredit() { b.level = min(b.level+b.parameters.credit, b.capacity()) }

// takeOver takes over what an earlier owner leaves.
func (b *Bucket) takeOver(now time.Time, h Handover) {
	b.update(now)
	if b.left > 0 || !now.Before(b.rampUntil) {
		return
	}
	b.left = h.Left
	b.level = min(max(b.level, h.Level), b.capacity())
}

// handOver returns what is left for the next owner.
func (b *Bucket) handOver(now time.Time, workspace string) Handover {
	b.update(now)
	return Handover{
		Workspace: workspace, Version: b.version, PerSecond: b.quota.PerSecond, Burst: b.quota.Burst,
		Level: b.level, Left: max(0, b.rate(now.Before(b.rampUntil))-b.parts),
	}
}

// limitRate makes the bucket grant no more than a deputy.
func (b *Bucket) limitRate(now time.Time) {
	b.update(now)
	b.reduced = true
	for _, c := range b.clients {
		c.part, c.charged = 0, 0
	}
	b.level = min(b.level, b.capacity())
}

// setQuota takes over a quota of a newer version.
func (b *Bucket) setQuota(version uint64, q snipefront.WorkspaceQuota) {
	if b.quota.Limited() && version <= b.version {
		return
	}
	b.version, b.quota, b.parameters = version, q, newParameters(b.limit, q)
	b.level = min(b.level, b.capacity())
}

// capacity is the largest number of tokens in the bucket.
func (b *Bucket) capacity() float64 {
	if b.reduced {
		return b.parameters.deputyBurst
	}
	return max(0, b.parameters.burst-b.advances-b.refundable)
}

// rate returns the tokens added per second, during the ramp or after it.
func (b *Bucket) rate(inRamp bool) float64 {
	switch {
	case b.reduced:
		return b.parameters.deputyRate
	case inRamp:
		return min(b.parameters.perSecond, max(b.parameters.rampRate, b.left+b.surrendered))
	}
	return b.parameters.perSecond
}

// update adds the tokens since the last update and checks the clients.
func (b *Bucket) update(now time.Time) {
	if !now.After(b.updated) {
		return
	}
	inRamp := min(now.Sub(b.updated), max(0, b.rampUntil.Sub(b.updated)))
	after := now.Sub(b.updated) - inRamp
	gain := b.rate(true)*inRamp.Seconds() + b.rate(false)*after.Seconds()
	b.level = max(b.level, min(b.level+gain, b.capacity()))
	b.returns = min(b.parameters.returnBurst, b.returns+b.parameters.returnRate*now.Sub(b.updated).Seconds())
	b.updated = now
	if now.Sub(b.swept) >= sweepInterval {
		b.sweep(now)
	}
}

// sweep charges silent clients for their parts, drops what has expired and sums up.
func (b *Bucket) sweep(now time.Time) {
	b.swept = now
	b.promised, b.advances, b.parts, b.demand, b.refundable = 0, 0, 0, 0, 0
	for name, c := range b.clients {
		if now.Sub(c.heard) > clientLife {
			delete(b.clients, name)
			continue
		}
		b.charge(now, c)
		if now.Sub(c.promisedAt) > c.promiseGrace() {
			c.promised = 0
		}
		if now.After(c.advanceUntil) {
			c.advance = 0
		}
		b.promised += c.promised
		b.advances += c.advance
		b.parts += c.part
		b.demand += c.currentDemand(now)
	}
	b.level = min(b.level, b.capacity())
}

// charge charges c for its part if it is silent.
func (b *Bucket) charge(now time.Time, c *client) {
	due, inUse := c.dueCharge(now)
	b.level -= max(0, due-c.charged)
	c.charged = max(c.charged, due)
	if !inUse {
		c.part = 0
		return
	}
	b.refundable += c.charged
}

// Ask answers a question. It returns false for one that is older than the last of its
// client.
func (b *Bucket) Ask(now time.Time, a Ask) (Answer, bool) {
	b.update(now)
	b.setQuota(a.Version, a.quota())
	c := b.client(now, a)
	if a.Number <= c.number {
		return c.answer, a.Number == c.number
	}
	if !b.reduced {
		b.settle(now, c, a)
	}
	b.demand -= c.currentDemand(now)
	c.count(now, a)
	b.demand += c.demand
	answer := b.grant(now, c, a)
	answer.Part = b.setPart(c, a)
	c.number, c.answer = a.Number, answer
	return answer, true
}

// client returns what is known of the instance that asks. What a new session has used before
// its first question isn't charged.
func (b *Bucket) client(now time.Time, a Ask) *client {
	c := b.clients[a.From]
	if c != nil && c.session == a.Session {
		return c
	}
	if c != nil {
		b.promised -= c.promised
		b.parts -= c.part
		b.refundable -= b.refundOf(now, c)
	}
	c = &client{session: a.Session, used: a.Used, returned: a.Returned, since: now, heard: now}
	b.clients[a.From] = c
	if !b.reduced && now.Before(b.rampUntil) {
		b.recordNew(now, c, a)
	}
	return c
}

// recordNew takes over the part that a client has from an earlier owner. It ends the ramp if
// the first clients show that the whole fleet has started.
func (b *Bucket) recordNew(now time.Time, c *client, a Ask) {
	c.part = a.Part
	b.parts += a.Part
	b.surrendered += a.Part
	b.newClients++
	if a.Young {
		b.newYoung++
	}
	if b.newClients >= restartClients && b.newClients == b.newYoung {
		b.rampUntil = now
		unused := b.parameters.perSecond * b.begun.Sub(b.started).Seconds()
		b.level = min(b.level+unused+b.parameters.restartCredit, b.capacity())
	}
}

// refundOf returns what of the charge to c may still be refunded.
func (b *Bucket) refundOf(now time.Time, c *client) float64 {
	if now.Sub(c.heard) < partLife {
		return c.charged
	}
	return 0
}

// settle replaces what c was charged by what it has used, and adds the tokens that it
// returns.
func (b *Bucket) settle(now time.Time, c *client, a Ask) {
	refund := b.refundOf(now, c)
	forfeited := c.charged - refund
	used := float64(a.Used - min(a.Used, c.used))
	b.refundable = max(0, b.refundable-refund)
	b.level += refund - max(0, used-forfeited)
	returned := min(float64(a.Returned-min(a.Returned, c.returned)), b.returns)
	b.returns -= returned
	b.level = min(b.level+returned, b.capacity())
	c.charged, c.used, c.returned = 0, a.Used, a.Returned
}

// grant grants tokens, or tells c when to ask again.
func (b *Bucket) grant(now time.Time, c *client, a Ask) Answer {
	answer := Answer{Number: a.Number, Workspace: a.Workspace}
	reserved := c.promised
	b.promised -= reserved
	c.promised = 0
	n := min(float64(a.Want), b.level-b.promised)
	if reserved > 0 && !now.Before(c.promisedAt) {
		n = max(n, min(reserved, b.level))
	}
	n = max(0, math.Floor(n+1e-9))
	b.level -= n
	answer.Tokens = int(n)
	if answer.Tokens < a.Want {
		answer.Wait, answer.Rate = b.promise(now, c)
		return answer
	}
	if !b.reduced {
		answer.Tokens += b.grantInAdvance(now, c)
	}
	return answer
}

// promise reserves tokens for c that the bucket has yet to gain. It returns the time after
// which c is to ask for them, and the rate that c can expect.
func (b *Bucket) promise(now time.Time, c *client) (time.Duration, float64) {
	perSecond := max(minRate, b.rate(now.Before(b.rampUntil)))
	share := perSecond * c.demand / max(c.demand, b.demand)
	n := max(1, math.Floor(share*callInterval.Seconds()))
	seconds := (b.promised + n - b.level) / perSecond
	wait := max(minWait, time.Duration(min(seconds, maxWait.Seconds())*float64(time.Second)))
	if now.Sub(c.denied) < time.Second {
		wait = max(callInterval, wait)
	}
	c.denied = now
	if c.demand >= minPromiseRate && b.promised+n <= max(1, b.capacity()/2) {
		c.promised, c.promisedAt = n, now.Add(wait)
		b.promised += n
	}
	return wait, share
}

// grantInAdvance returns tokens for requests that c has not received yet, while the bucket
// is more than half full.
func (b *Bucket) grantInAdvance(now time.Time, c *client) int {
	spare := b.level - b.promised - max(b.parameters.burst/2, 1)
	n := math.Floor(min(c.spent*advanceTime.Seconds()+0.5, spare, b.parameters.maxAdvance-b.advances))
	if n < 1 {
		return 0
	}
	b.level -= n
	b.advances += n
	c.advance += n
	c.advanceUntil = now.Add(tokenLife)
	return int(n)
}

// setPart sets the part of c and returns it. Until the answer has arrived, c may use the
// one that it names in a.
func (b *Bucket) setPart(c *client, a Ask) float64 {
	if b.reduced || b.parameters.deputyRate >= b.parameters.perSecond/2 {
		return 0 // the deputy grants enough
	}
	others := b.parts - c.part
	part := max(0, min(c.partRate(), b.rate(b.updated.Before(b.rampUntil))-others))
	isSpare := b.level > b.parameters.burst/2 && others < maxSpareParts*b.parameters.perSecond && part*partLife.Seconds() <= maxSpareShare*b.parameters.burst
	if c.steady < minPartRate && !isSpare {
		part = 0
	}
	c.part = max(part, a.Part)
	b.parts = others + c.part
	return part
}
