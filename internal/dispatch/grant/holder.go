package grant

import (
	"math"
	"time"

	"github.com/snipefront/snipefront"
)

const (
	// firstRetry is the time after which an owner that hasn't answered is asked again, and
	// outageRetry the time after which it is if it hasn't answered twice in succession, or
	// a deputy.
	firstRetry  = 30 * time.Millisecond
	outageRetry = 250 * time.Millisecond
	// otherRetry is the time after which an instance that has answered that it isn't the
	// owner is asked again: one of the two views is about to change.
	otherRetry = 100 * time.Millisecond
	// maxRetryAfter bounds the time that callers are told to wait.
	maxRetryAfter = 20 * time.Second
	// outageWait is what callers are told to wait while no instance grants tokens.
	outageWait = time.Second
	// startWait is what callers are told to wait after the start of a whole fleet, when an
	// owner is known soon.
	startWait = 400 * time.Millisecond
)

// Outcome is what a Holder decides on a request.
type Outcome int

// The outcomes.
const (
	// Admitted means that the request may run.
	Admitted Outcome = iota
	// Denied means that the request is refused.
	Denied
	// AskOwner and AskDeputy mean that the request waits for the answer to a question.
	AskOwner
	AskDeputy
)

// Source says what admitted a request.
type Source string

// The sources. They label metrics.
const (
	FromOwner  Source = "owner"
	FromPart   Source = "part"
	FromDeputy Source = "deputy"
)

// Cause says why a request was refused.
type Cause string

// The causes. They label metrics.
const (
	// Exhausted means that the quota is used up, as the owner says.
	Exhausted Cause = "exhausted"
	// Unanswered means that neither the owner nor the deputy grants a token in an outage.
	Unanswered Cause = "unanswered"
)

// Decision is the outcome for one request.
type Decision struct {
	Outcome Outcome
	// Source is set if the request is admitted.
	Source Source
	// Cause and RetryAfter are set if it is refused.
	Cause      Cause
	RetryAfter time.Duration
}

// Holder holds the tokens that one instance has of one workspace. Set the exported fields
// before use.
type Holder struct {
	Workspace string
	// Self is the name of the instance.
	Self string
	// Session is different for each Holder. It grows with each change of the owner.
	Session uint64
	// Random returns a number of at least 0 and less than 1.
	Random func() float64

	tokens int
	source Source
	// expires is the time until which tokens may be used.
	expires time.Time
	// deniedUntil is the time at which the owner may be asked again after it has granted
	// too little, and rate what this instance can expect, in tokens per second.
	deniedUntil time.Time
	rate        float64
	// nextSlot is the time at which the next refused request may come back.
	nextSlot time.Time
	// askOwnerAt and askDeputyAt are set while the owner, or the deputy, doesn't answer.
	// failures is the number of questions to the owner without an answer, in succession.
	askOwnerAt, askDeputyAt time.Time
	failures                int
	// part is the part of this instance, in tokens per second, until partUntil. partTokens
	// is what it holds, as of partAt.
	part, partTokens  float64
	partAt, partUntil time.Time

	// starting is true until an owner has answered, if the process has just started. No owner
	// has set the part aside then.
	starting       bool
	spent, refused int
	used, returned uint64
	// number, sent and answered are those of the last question.
	number   uint64
	sent     time.Time
	answered bool
	toDeputy bool
}

// Start gives the holder of a process that has just started a part to use until an owner
// answers: an equal share of the quota among the given number of instances. Otherwise no
// request would be admitted after the start of a whole fleet until there is a view of it.
func (h *Holder) Start(now time.Time, l snipefront.QuotaLimit, q snipefront.WorkspaceQuota, instances int) {
	if instances == 0 {
		return
	}
	f := newParameters(l, q)
	h.part, h.partAt, h.partUntil = q.PerSecond/float64(instances), now, now.Add(partLife)
	h.partTokens = h.Random() + f.startTokens/float64(instances)
	h.starting = true
}

// Take decides on a request.
func (h *Holder) Take(now time.Time) Decision {
	if h.tokens > 0 && now.Before(h.expires) {
		h.tokens--
		h.spent++
		return Decision{Outcome: Admitted, Source: h.source}
	}
	h.tokens = 0
	if now.Before(h.deniedUntil) {
		return h.deny(now, Exhausted, h.deniedUntil)
	}
	if !now.Before(h.askOwnerAt) {
		return Decision{Outcome: AskOwner}
	}
	if h.takePart(now) {
		return Decision{Outcome: Admitted, Source: FromPart}
	}
	if !now.Before(h.askDeputyAt) {
		return Decision{Outcome: AskDeputy}
	}
	if h.starting && now.Before(h.partUntil) {
		return h.deny(now, Unanswered, now.Add(startWait))
	}
	return h.deny(now, Unanswered, now.Add(outageWait))
}

// Refuse refuses a request that has waited for too many calls.
func (h *Holder) Refuse(now time.Time) Decision { return h.deny(now, Unanswered, now) }

// deny refuses a request that could be admitted from the given time on, if it were the only
// one. Each further one is told to come back when there will be another token.
func (h *Holder) deny(now time.Time, c Cause, from time.Time) Decision {
	h.refused++
	if h.nextSlot.Before(from) {
		h.nextSlot = from
	}
	d := Decision{Outcome: Denied, Cause: c, RetryAfter: min(h.nextSlot.Sub(now), maxRetryAfter)}
	if h.rate > 0 && d.RetryAfter < maxRetryAfter {
		h.nextSlot = h.nextSlot.Add(time.Duration(min(1/h.rate, maxRetryAfter.Seconds()) * float64(time.Second)))
	}
	return d
}

// takePart takes a token of the part.
func (h *Holder) takePart(now time.Time) bool {
	if h.part == 0 || !now.Before(h.partUntil) {
		return false
	}
	h.partTokens = min(h.savedPart(now), max(1, h.part*tokenLife.Seconds()))
	h.partAt = now
	if h.partTokens < 1 {
		return false
	}
	h.partTokens--
	h.used++
	return true
}

// savedPart returns the tokens of the part, which it gains from the last answer on. It
// begins with a random fraction of a token, so that all instances together use as many as
// their parts add up to.
func (h *Holder) savedPart(now time.Time) float64 {
	if h.partAt.IsZero() {
		return h.Random()
	}
	return h.partTokens + h.part*now.Sub(h.partAt).Seconds()
}

// setPart replaces the part by that of an answer. Only the fraction of a token is left of
// what it has saved.
func (h *Holder) setPart(now time.Time, perSecond float64) {
	_, h.partTokens = math.Modf(h.savedPart(now))
	h.part, h.partAt, h.partUntil = perSecond, h.sent, h.sent.Add(partLife)
	h.starting = false
}

// Ask returns a question to the owner or the deputy for the number of requests that wait.
func (h *Holder) Ask(now time.Time, deputy bool, waiting int) Ask {
	h.number++
	a := Ask{
		Number: h.number, From: h.Self, Session: h.Session, Workspace: h.Workspace, Deputy: deputy,
		Want: waiting, Spent: h.spent, Refused: h.refused, Used: h.used, Returned: h.returned,
	}
	if now.Before(h.partUntil) && !h.starting {
		a.Part = h.part
	}
	h.spent, h.refused, h.sent, h.answered, h.toDeputy = 0, 0, now, false, deputy
	return a
}

// Apply applies an answer. It reports whether it was the first one to the last question.
func (h *Holder) Apply(now time.Time, a Answer) bool {
	if a.Number != h.number || h.answered {
		return false
	}
	h.answered = true
	switch {
	case a.Other && h.toDeputy:
		h.askDeputyAt = now.Add(outageRetry)
	case a.Other:
		h.askOwnerAt = now.Add(otherRetry)
	case h.toDeputy:
		h.addTokens(now, a.Tokens, FromDeputy)
		if a.Wait > 0 {
			h.askDeputyAt, h.rate = now.Add(a.Wait), a.Rate
		}
	default:
		h.addTokens(now, a.Tokens, FromOwner)
		h.askOwnerAt, h.deniedUntil = time.Time{}, time.Time{}
		h.failures = 0
		h.setPart(now, a.Part)
		h.rate = a.Rate
		if a.Wait > 0 {
			h.deniedUntil = now.Add(a.Wait)
		} else {
			h.nextSlot = time.Time{}
		}
	}
	return true
}

// addTokens adds tokens, which may be used for as long as the owner, or the deputy, counts
// on it.
func (h *Holder) addTokens(now time.Time, n int, from Source) {
	expires := h.sent.Add(tokenLife)
	if n == 0 || !now.Before(expires) {
		return
	}
	if h.tokens > 0 && h.expires.Before(expires) {
		expires = h.expires
	}
	h.tokens, h.expires, h.source = h.tokens+n, expires, from
}

// Fail records that the last question has got no answer in time.
func (h *Holder) Fail(now time.Time) {
	if h.toDeputy {
		h.askDeputyAt = now.Add(outageRetry)
		return
	}
	h.failures++
	if h.failures == 1 {
		h.askOwnerAt = now.Add(firstRetry)
		return
	}
	h.askOwnerAt = now.Add(outageRetry)
}

// OwnerChanged resets what is known of the owner and the deputy, since there is another owner.
// The part stays until the new owner answers, which is told of it. A new session begins, so
// that an earlier owner that comes back doesn't refund what it has charged meanwhile.
func (h *Holder) OwnerChanged() {
	h.Session++
	h.failures = 0
	h.askOwnerAt, h.askDeputyAt, h.deniedUntil = time.Time{}, time.Time{}, time.Time{}
}

// Return gives back the token of a request that has not run. The owner adds it to the
// bucket when it hears of it.
func (h *Holder) Return() { h.returned++ }

// Discard drops the tokens, as after a stall of the process.
func (h *Holder) Discard() { h.tokens, h.part = 0, 0 }

// Tokens returns the number of tokens that may be used now.
func (h *Holder) Tokens(now time.Time) int {
	if now.Before(h.expires) {
		return h.tokens
	}
	return 0
}
