package snipefront

import "time"

// RolloutBounds bound what a version that turns out to be bad may receive in its rollout, over
// all instances together.
type RolloutBounds struct {
	// Share and Slack bound the requests that the version receives between the order and its
	// deadline: Share times the requests of the service in that time, plus Slack.
	Share, Slack float64
	// Rollback is the time from the 50th bad answer of the version after which no request is
	// sent to it.
	Rollback time.Duration
}

// DefaultRolloutBounds apply where the settings name none.
var DefaultRolloutBounds = RolloutBounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}

// newsShare is the part of Rollback after which news of a running rollout is too old to send
// requests to the version. The rest is for the counts, the decision and its commit.
const newsShare = 0.6

// NewsLifetime returns the age of the last news of a running rollout beyond which an instance
// sends nothing to the version.
func (b RolloutBounds) NewsLifetime() time.Duration {
	return time.Duration(newsShare * float64(b.Rollback))
}
