package state

import (
	"crypto/sha256"

	"github.com/snipefront/snipefront"
)

// Claim asks for the right to run a request that may run only once.
type Claim struct {
	// Key is the service and the caller's idempotency key.
	Key string
	// Fingerprint identifies the content of the request.
	Fingerprint uint64
	// Token identifies the one execution that asks. It is never used again.
	Token string
}

// Settle ends a claim.
type Settle struct {
	Key   string
	Token string
	// Release is true where the request has surely not run: the claim goes.
	Release bool
	// Answer is kept for resends of a request that ran. It may be nil where the
	// answer was too large to keep.
	Answer *Answer `json:",omitempty"`
}

// Answer is the kept answer of a request that ran.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// ClaimOutcome is what a Claim came to.
type ClaimOutcome string

// The outcomes of a Claim.
const (
	// ClaimGranted lets the asking execution run the request.
	ClaimGranted ClaimOutcome = "granted"
	// ClaimPending means that another execution holds the claim and has not
	// ended it: the request may have run.
	ClaimPending ClaimOutcome = "pending"
	// ClaimRan means that the request ran. Answer is set where it was kept.
	ClaimRan ClaimOutcome = "ran"
	// ClaimMismatch means that the key stands for a different request.
	ClaimMismatch ClaimOutcome = "mismatch"
	// ClaimFull means that no more claims can be kept, so that the request must
	// not run.
	ClaimFull ClaimOutcome = "full"
)

// ClaimResult tells what became of a Claim.
type ClaimResult struct {
	Outcome ClaimOutcome
	Answer  *Answer `json:",omitempty"`
}

// SettleResult tells what became of a Settle.
type SettleResult struct {
	// Verdict is NotRun where the claim is gone.
	Verdict snipefront.Verdict
}

// Advance moves the clock by which claims age. The leader measures the step on
// its monotonic clock, so that no wrong clock of any instance lets a claim lapse
// early.
type Advance struct {
	// From is the clock that the step was measured from, in milliseconds.
	From int64
	// Millis is the length of the step.
	Millis int64
}

// AdvanceResult tells where the clock stands.
type AdvanceResult struct {
	Clock int64
}

// Claims returns the number of claims that are kept.
func (s *State) Claims() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.claims.records)
}

// Clock returns the clock by which claims age, in milliseconds.
func (s *State) Clock() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.Clock
}

func (s *State) applyAdvance(c *Advance) AdvanceResult {
	if c.From == s.data.Clock && c.Millis > 0 {
		s.data.Clock += c.Millis
		s.claims.expire(s.data.Clock)
	}
	return AdvanceResult{Clock: s.data.Clock}
}

func (s *State) applyClaim(c *Claim) ClaimResult {
	k := claimKeyOf(c.Key)
	r, ok := s.claims.records[k]
	switch {
	case !ok && len(s.claims.records) >= maxClaims:
		return ClaimResult{Outcome: ClaimFull}
	case !ok:
		s.claims.add(k, claimRecord{Fingerprint: c.Fingerprint, Token: tokenOf(c.Token), Clock: s.data.Clock})
		return ClaimResult{Outcome: ClaimGranted}
	case r.Fingerprint != c.Fingerprint:
		return ClaimResult{Outcome: ClaimMismatch}
	case r.Ran:
		return ClaimResult{Outcome: ClaimRan, Answer: s.claims.answer(k)}
	case r.Token == tokenOf(c.Token):
		return ClaimResult{Outcome: ClaimGranted}
	default:
		return ClaimResult{Outcome: ClaimPending}
	}
}

func (s *State) applySettle(c *Settle) SettleResult {
	k := claimKeyOf(c.Key)
	r, ok := s.claims.records[k]
	if !ok || r.Token != tokenOf(c.Token) || r.Ran {
		return SettleResult{}
	}
	if c.Release {
		s.claims.remove(k)
		return SettleResult{Verdict: snipefront.NotRun}
	}
	s.claims.finish(k, s.data.Clock, c.Answer)
	return SettleResult{Verdict: snipefront.Ran}
}

func claimKeyOf(key string) claimKey {
	sum := sha256.Sum256([]byte(key))
	return claimKey(sum[:claimKeyBytes])
}

func tokenOf(token string) claimToken {
	sum := sha256.Sum256([]byte(token))
	return claimToken(sum[:claimTokenBytes])
}
