package state

import "github.com/snipefront/snipefront"

// claimLifetimeMillis is the time for which a claim and its answer are kept.
const claimLifetimeMillis = 24 * 60 * 60 * 1000

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

// claimRecord is a claim as it is stored.
type claimRecord struct {
	Fingerprint uint64
	Token       string
	UnixMillis  int64
	Ran         bool
	Answer      *Answer `json:",omitempty"`
}

// Claims returns the number of claims that are kept.
func (s *State) Claims() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.data.Claims)
}

func (s *State) applyClaim(c *Claim, unixMillis int64) ClaimResult {
	s.expireClaims(unixMillis)
	r, ok := s.data.Claims[c.Key]
	switch {
	case !ok:
		s.data.Claims[c.Key] = claimRecord{Fingerprint: c.Fingerprint, Token: c.Token, UnixMillis: unixMillis}
		s.data.ClaimOrder = append(s.data.ClaimOrder, claimAge{Key: c.Key, UnixMillis: unixMillis})
		return ClaimResult{Outcome: ClaimGranted}
	case r.Fingerprint != c.Fingerprint:
		return ClaimResult{Outcome: ClaimMismatch}
	case r.Ran:
		return ClaimResult{Outcome: ClaimRan, Answer: r.Answer}
	case r.Token == c.Token:
		return ClaimResult{Outcome: ClaimGranted}
	default:
		return ClaimResult{Outcome: ClaimPending}
	}
}

func (s *State) applySettle(c *Settle) SettleResult {
	r, ok := s.data.Claims[c.Key]
	if !ok || r.Token != c.Token || r.Ran {
		return SettleResult{}
	}
	if c.Release {
		delete(s.data.Claims, c.Key)
		return SettleResult{Verdict: snipefront.NotRun}
	}
	r.Ran = true
	r.Answer = c.Answer
	s.data.Claims[c.Key] = r
	return SettleResult{Verdict: snipefront.Ran}
}

// claimAge is an entry of the queue of claims by age.
type claimAge struct {
	Key        string
	UnixMillis int64
}

// expireClaims drops the claims that are older than their lifetime. A key that
// was released and claimed again has a later record, which stays.
func (s *State) expireClaims(unixMillis int64) {
	n := 0
	for _, a := range s.data.ClaimOrder {
		if unixMillis-a.UnixMillis < claimLifetimeMillis {
			break
		}
		if r, ok := s.data.Claims[a.Key]; ok && r.UnixMillis == a.UnixMillis {
			delete(s.data.Claims, a.Key)
		}
		n++
	}
	if n > 0 {
		s.data.ClaimOrder = append([]claimAge(nil), s.data.ClaimOrder[n:]...)
	}
}
