package state

import (
	"crypto/sha256"

	"github.com/snipefront/snipefront"
)

// Claim requests the right to execute a request that must run at most once.
type Claim struct {
	// Key is the service and the caller's idempotency key.
	Key string
	// Fingerprint identifies the content of the request.
	Fingerprint uint64
	// Token identifies one execution of the request. No two executions use the
	// same token.
	Token string
}

// Settle ends a claim: it records that the request ran, or releases the claim.
type Settle struct {
	Key   string
	Token string
	// Release is true if the request is known not to have run. It removes the
	// claim, or voids it if the claim is applied later.
	Release bool
	// Answer is stored for resends of a request that ran. It is nil if the answer
	// was too large to store.
	Answer *Answer `json:",omitempty"`
}

// Answer is the stored answer of a request that ran.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// ClaimOutcome is the outcome of a Claim.
type ClaimOutcome string

// The outcomes of a Claim.
const (
	// ClaimGranted means that the execution holds the claim and may run the
	// request.
	ClaimGranted ClaimOutcome = "granted"
	// ClaimPending means that another execution holds the claim and has not
	// settled it: the request may have run.
	ClaimPending ClaimOutcome = "pending"
	// ClaimRan means that the request ran. Answer is set if it is still stored.
	ClaimRan ClaimOutcome = "ran"
	// ClaimMismatch means that the key was claimed for a request with another
	// fingerprint.
	ClaimMismatch ClaimOutcome = "mismatch"
	// ClaimFull means that no more claims can be stored, so the request must not
	// run.
	ClaimFull ClaimOutcome = "full"
)

// ClaimResult is the result of a Claim.
type ClaimResult struct {
	Outcome ClaimOutcome
	Answer  *Answer `json:",omitempty"`
}

// SettleResult is the result of a Settle.
type SettleResult struct {
	// Verdict is NotRun if the claim was released, Ran if the request is now
	// recorded as run, and MayHaveRun if the token holds no unsettled claim.
	Verdict snipefront.Verdict
}

// Advance advances the clock that claims expire by. The leader measures the step
// on its monotonic clock, so that a wrong wall clock of an instance cannot expire
// a claim early.
type Advance struct {
	// From is the clock at the start of the step, in milliseconds. The step is
	// ignored if the clock has moved since.
	From int64
	// Millis is the length of the step, in milliseconds.
	Millis int64
}

// AdvanceResult holds the clock after an Advance, in milliseconds.
type AdvanceResult struct {
	Clock int64
}

// Claims returns the number of stored claims.
func (s *State) Claims() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.claims.records)
}

// Clock returns the clock that claims expire by, in milliseconds.
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
	k := hashKey(c.Key)
	r, ok := s.claims.records[k]
	if ok && r.Released {
		return s.claimAfterRelease(k, r, c)
	}
	switch {
	case !ok && len(s.claims.records) >= maxClaims:
		return ClaimResult{Outcome: ClaimFull}
	case !ok:
		s.claims.add(k, claimRecord{Fingerprint: c.Fingerprint, Token: hashToken(c.Token), Clock: s.data.Clock})
		return ClaimResult{Outcome: ClaimGranted}
	case r.Fingerprint != c.Fingerprint:
		return ClaimResult{Outcome: ClaimMismatch}
	case r.Ran:
		return ClaimResult{Outcome: ClaimRan, Answer: s.claims.answer(k)}
	case r.Token == hashToken(c.Token):
		return ClaimResult{Outcome: ClaimGranted}
	default:
		return ClaimResult{Outcome: ClaimPending}
	}
}

// claimAfterRelease applies a claim on a key whose release was applied before its
// claim. A claim with the released token is void, so that it cannot run the
// request after all; its outcome is ClaimPending. A claim with any other token
// counts as new. Both remove the release.
func (s *State) claimAfterRelease(k claimKey, r claimRecord, c *Claim) ClaimResult {
	s.claims.remove(k)
	if r.Token == hashToken(c.Token) {
		return ClaimResult{Outcome: ClaimPending}
	}
	return s.applyClaim(c)
}

func (s *State) applySettle(c *Settle) SettleResult {
	k := hashKey(c.Key)
	r, ok := s.claims.records[k]
	if !ok && c.Release && len(s.claims.records) < maxClaims {
		s.claims.add(k, claimRecord{Token: hashToken(c.Token), Clock: s.data.Clock, Released: true})
		return SettleResult{Verdict: snipefront.NotRun}
	}
	if !ok || r.Token != hashToken(c.Token) || r.Ran || r.Released {
		return SettleResult{}
	}
	if c.Release {
		s.claims.remove(k)
		return SettleResult{Verdict: snipefront.NotRun}
	}
	s.claims.markRan(k, s.data.Clock, c.Answer)
	return SettleResult{Verdict: snipefront.Ran}
}

func hashKey(key string) claimKey {
	sum := sha256.Sum256([]byte(key))
	return claimKey(sum[:claimKeyBytes])
}

func hashToken(token string) claimToken {
	sum := sha256.Sum256([]byte(token))
	return claimToken(sum[:claimTokenBytes])
}
