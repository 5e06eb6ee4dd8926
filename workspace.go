package snipefront

import (
	"context"
	"crypto/sha256"
	"time"
)

// Workspace is a customer whose callers identify themselves by keys and share a quota.
type Workspace struct {
	// Name is unique in a Routing and not empty.
	Name string
	// Keys are the digests of its keys. No two workspaces of a Routing share one.
	Keys []KeyDigest
	// Rank replaces the rank of the route if HasRank is true. 0 is the most important.
	Rank    int
	HasRank bool
	Quota   WorkspaceQuota
}

// WorkspaceQuota bounds the requests of a workspace over all instances. It is a token bucket.
type WorkspaceQuota struct {
	// PerSecond is the rate at which tokens are added, one for each request. Zero means that
	// there is no limit.
	PerSecond float64
	// Burst is the most tokens that are saved up, 0 or more.
	Burst float64
}

// Limited reports whether q is a limit.
func (q WorkspaceQuota) Limited() bool { return q.PerSecond > 0 }

// KeyDigest is the SHA-256 digest of a key. Keys themselves are kept nowhere but in the
// configuration as operators wrote it.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// QuotaLimit is the bound within which the quotas of workspaces are kept: in each time of
// length Window, over all instances, at most (PerSecond * Window + Burst) * (1 + Overage) +
// Slack requests of a workspace run.
type QuotaLimit struct {
	// Window is positive.
	Window  time.Duration
	Overage float64
	// Slack is a number of requests.
	Slack float64
}

// DefaultQuotaLimit applies if the settings state none.
var DefaultQuotaLimit = QuotaLimit{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// Admitter admits the requests of workspaces within their quotas.
type Admitter interface {
	// Admit takes a token for one request of w and returns nil, or returns the refusal. It
	// returns soon, and at the latest when ctx ends.
	Admit(ctx context.Context, w *Workspace) *Error
	// Return gives back the token of a request of the named workspace that has not run.
	Return(workspace string)
}
