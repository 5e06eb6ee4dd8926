package fleet

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Counts are what one process has counted of a rollout so far. They only grow, so that the last
// ones of a process replace all before. They are sent as a Command to the leader of the control
// quorum, which adds them up and appends no entry to the log.
type Counts struct {
	Service string
	// Order is that of the rollout.
	Order uint64
	// Instance names the instance, Process differs after each of its starts, and Sequence
	// increases with each Counts of a process.
	Instance          string
	Process, Sequence uint64
	// Applied is the number of the last step that the instance has applied.
	Applied uint64 `json:",omitempty"`
	// Waiting is true if that step is one which all instances must have applied before the
	// rollout ends. It isn't encoded.
	Waiting bool `json:"-"`
	// OldInFlight is the number of requests of the instance in flight at backend servers of
	// the earlier versions.
	OldInFlight int `json:",omitempty"`
	// Requests counts the requests of the service, Sent those sent to the version.
	Requests int64         `json:",omitempty"`
	Sent     int64         `json:",omitempty"`
	Routes   []RouteCounts `json:",omitempty"`
	// Bad counts the bad and the late answers of the version by backend server.
	Bad map[string]int64 `json:",omitempty"`
}

// RouteCounts are the answers on one route, of the earlier versions and of the new one.
type RouteCounts struct {
	Route    string
	Old, New Answers
}

// Answers counts answers. It is encoded as a list.
type Answers struct {
	// Total counts all answers of backend servers, and attempts that ended without one though
	// one was due. Bad counts those of them that were server errors or broken.
	Total, Bad int64
	// Timed counts those whose time was compared with the expected one, which excludes cold
	// backend servers. Late counts those that took 2.5 times as long or more, VeryLate those
	// that took 4 times as long or more.
	Timed, Late, VeryLate int64
}

// Add returns the sum of a and b.
func (a Answers) Add(b Answers) Answers {
	return Answers{a.Total + b.Total, a.Bad + b.Bad, a.Timed + b.Timed, a.Late + b.Late, a.VeryLate + b.VeryLate}
}

// Minus returns what a has beyond b. No count is negative.
func (a Answers) Minus(b Answers) Answers {
	return Answers{max(0, a.Total-b.Total), max(0, a.Bad-b.Bad), max(0, a.Timed-b.Timed), max(0, a.Late-b.Late), max(0, a.VeryLate-b.VeryLate)}
}

// MarshalJSON implements json.Marshaler.
func (a Answers) MarshalJSON() ([]byte, error) {
	return json.Marshal([5]int64{a.Total, a.Bad, a.Timed, a.Late, a.VeryLate})
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *Answers) UnmarshalJSON(b []byte) error {
	var n [5]int64
	if err := json.Unmarshal(b, &n); err != nil {
		return err
	}
	*a = Answers{n[0], n[1], n[2], n[3], n[4]}
	return nil
}

// countsPrefix is what an encoded Command with Counts begins with, since Counts is then its
// only field.
var countsPrefix = []byte(`{"Counts":`)

// DecodeCounts decodes a Command that has Counts, and returns false for any other.
func DecodeCounts(command []byte) (list []Counts, ok bool, err error) {
	if !bytes.HasPrefix(command, countsPrefix) {
		return nil, false, nil
	}
	var c Command
	err = json.Unmarshal(command, &c)
	return c.Counts, true, errors.Wrap(err, "decode counts")
}
