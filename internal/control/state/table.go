package state

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

const (
	// claimLifetimeMillis is how long a claim is stored. A caller must not resend
	// a request later than this, since the request could run again.
	claimLifetimeMillis = 60 * 60 * 1000
	// answerLifetimeMillis is how long the answer of a request that ran is stored.
	answerLifetimeMillis = 2 * 60 * 1000
	// maxClaims is the most claims that are stored.
	maxClaims = 300_000
	// maxAnswerBytes is the most bytes of answer bodies that are stored. The
	// oldest answers are removed first.
	maxAnswerBytes = 16 << 20
	// minCompactEntries is the length up to which the claim queue is never
	// compacted. Beyond it, stale entries are removed once the queue is longer than
	// twice the number of claims plus minCompactEntries.
	minCompactEntries = 1024
	// claimKeyBytes and claimTokenBytes are the lengths of the hashes that are
	// stored in place of keys and tokens.
	claimKeyBytes   = 16
	claimTokenBytes = 12
)

type (
	claimKey   [claimKeyBytes]byte
	claimToken [claimTokenBytes]byte
)

// claimRecord is a claim, or a release that was applied before its claim. All its
// fields have a fixed size, as package binary requires.
type claimRecord struct {
	Fingerprint uint64
	Token       claimToken
	// Clock is State.Clock, in milliseconds, when the record was added.
	Clock int64
	Ran   bool
	// Released is true if a release was applied before its claim. The record is then
	// no claim: it only voids one with Token that is applied later.
	Released bool
}

// queueEntry is an entry of the claim queue or of the answer queue. An entry of the
// claim queue is stale unless the record of key has the same clock.
type queueEntry struct {
	key   claimKey
	clock int64
}

// claimTable holds the claims of a State.
type claimTable struct {
	records map[claimKey]claimRecord
	// claimQueue holds the claims by age, oldest first. It may have stale entries.
	claimQueue []queueEntry
	// answers holds the stored answers, and answerQueue their keys by age, oldest
	// first.
	answers     map[claimKey]Answer
	answerQueue []queueEntry
	// answerBytes is the size of the bodies of all stored answers.
	answerBytes int
}

func (t *claimTable) init() {
	if t.records == nil {
		t.records = map[claimKey]claimRecord{}
		t.answers = map[claimKey]Answer{}
	}
}

func (t *claimTable) add(k claimKey, r claimRecord) {
	t.records[k] = r
	t.claimQueue = append(t.claimQueue, queueEntry{key: k, clock: r.Clock})
}

func (t *claimTable) remove(k claimKey) {
	delete(t.records, k)
	t.removeAnswer(k)
	if len(t.claimQueue) > 2*len(t.records)+minCompactEntries {
		t.compact()
	}
}

// compact removes the stale entries from the claim queue.
func (t *claimTable) compact() {
	kept := make([]queueEntry, 0, len(t.records))
	for _, e := range t.claimQueue {
		if r, ok := t.records[e.key]; ok && r.Clock == e.clock {
			kept = append(kept, e)
		}
	}
	t.claimQueue = kept
}

// markRan records that the request of k ran and stores its answer. If the bodies
// of all answers exceed maxAnswerBytes, it removes the oldest answers.
func (t *claimTable) markRan(k claimKey, clock int64, a *Answer) {
	r := t.records[k]
	r.Ran = true
	t.records[k] = r
	if a == nil {
		return
	}
	t.answers[k] = *a
	t.answerQueue = append(t.answerQueue, queueEntry{key: k, clock: clock})
	t.answerBytes += len(a.Body)
	for t.answerBytes > maxAnswerBytes {
		t.removeAnswer(t.answerQueue[0].key)
		t.answerQueue = t.answerQueue[1:]
	}
}

// answer returns the stored answer of k, or nil.
func (t *claimTable) answer(k claimKey) *Answer {
	a, ok := t.answers[k]
	if !ok {
		return nil
	}
	return &a
}

// removeAnswer removes the stored answer of k, if there is one.
func (t *claimTable) removeAnswer(k claimKey) {
	if a, ok := t.answers[k]; ok {
		t.answerBytes -= len(a.Body)
		delete(t.answers, k)
	}
}

// expire removes the answers and the claims whose lifetime has ended at clock.
func (t *claimTable) expire(clock int64) {
	for len(t.answerQueue) > 0 && clock-t.answerQueue[0].clock >= answerLifetimeMillis {
		t.removeAnswer(t.answerQueue[0].key)
		t.answerQueue = t.answerQueue[1:]
	}
	for len(t.claimQueue) > 0 && clock-t.claimQueue[0].clock >= claimLifetimeMillis {
		e := t.claimQueue[0]
		t.claimQueue = t.claimQueue[1:]
		if r, ok := t.records[e.key]; ok && r.Clock == e.clock {
			t.remove(e.key)
		}
	}
}

// claimEntry is a claim in a snapshot.
type claimEntry struct {
	Key    claimKey
	Record claimRecord
}

// answerEntry is a stored answer in a snapshot.
type answerEntry struct {
	Key    []byte
	Clock  int64
	Answer Answer
}

// claimSnapshot is a claimTable in a snapshot.
type claimSnapshot struct {
	// Records holds the claims by age, oldest first, in big-endian binary
	// encoding.
	Records []byte
	// Answers holds the stored answers by age, oldest first.
	Answers []answerEntry
}

// claimCapture is a copy of a claimTable at one instant, before it is encoded.
type claimCapture struct {
	records []claimEntry
	answers []answerEntry
}

func (t *claimTable) capture() claimCapture {
	c := claimCapture{records: make([]claimEntry, 0, len(t.records))}
	for _, e := range t.claimQueue {
		if r, ok := t.records[e.key]; ok && r.Clock == e.clock {
			c.records = append(c.records, claimEntry{Key: e.key, Record: r})
		}
	}
	for _, e := range t.answerQueue {
		if a, ok := t.answers[e.key]; ok {
			c.answers = append(c.answers, answerEntry{Key: e.key[:], Clock: e.clock, Answer: a})
		}
	}
	return c
}

func (c claimCapture) encode() (claimSnapshot, error) {
	packed, err := binary.Append(nil, binary.BigEndian, c.records)
	return claimSnapshot{Records: packed, Answers: c.answers}, errors.Wrap(err, "encode claims")
}

// restoreClaims returns the claimTable that s encodes.
func restoreClaims(s claimSnapshot) (claimTable, error) {
	var t claimTable
	t.init()
	list := make([]claimEntry, len(s.Records)/binary.Size(claimEntry{}))
	if _, err := binary.Decode(s.Records, binary.BigEndian, list); err != nil {
		return t, errors.Wrap(err, "decode claims")
	}
	for _, e := range list {
		t.add(e.Key, e.Record)
	}
	for _, e := range s.Answers {
		if len(e.Key) != claimKeyBytes {
			return t, errors.Errorf("decode claims: key of an answer has %d bytes instead of 16", len(e.Key))
		}
		k := claimKey(e.Key)
		t.answers[k] = e.Answer
		t.answerQueue = append(t.answerQueue, queueEntry{key: k, clock: e.Clock})
		t.answerBytes += len(e.Answer.Body)
	}
	return t, nil
}
