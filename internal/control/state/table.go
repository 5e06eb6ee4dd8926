package state

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

const (
	// claimLifetime is the time for which a claim is kept, in milliseconds. A
	// caller must not resend a request later than this.
	claimLifetime = 60 * 60 * 1000
	// answerLifetime is the time for which the answer of a claim is kept, in
	// milliseconds.
	answerLifetime = 2 * 60 * 1000
	// maxClaims is the most claims that are kept.
	maxClaims = 300_000
	// maxAnswerBytes is the most bytes of bodies that are kept. Older answers go
	// first.
	maxAnswerBytes = 16 << 20
	// minOrder is the number of entries up to which the queue by age is left as it
	// is.
	minOrder = 1024
	// claimKeyBytes and claimTokenBytes are the lengths of the hashes that stand
	// for keys and tokens.
	claimKeyBytes   = 16
	claimTokenBytes = 12
)

type (
	claimKey   [claimKeyBytes]byte
	claimToken [claimTokenBytes]byte
)

// claimRecord is a claim as it is stored. All its fields have a fixed size.
type claimRecord struct {
	Fingerprint uint64
	Token       claimToken
	// Clock is when the claim was made.
	Clock int64
	Ran   bool
	// Released is true where only the end of the claim has come so far.
	Released bool
}

// claimAge is an entry of a queue by age. It counts only where the record still
// has the same clock.
type claimAge struct {
	key   claimKey
	clock int64
}

// claimTable holds the claims of a State.
type claimTable struct {
	records map[claimKey]claimRecord
	// order holds the claims by age, oldest first.
	order []claimAge
	// answers holds the kept answers, and answerOrder their keys by age.
	answers     map[claimKey]Answer
	answerOrder []claimAge
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
	t.order = append(t.order, claimAge{key: k, clock: r.Clock})
}

func (t *claimTable) remove(k claimKey) {
	delete(t.records, k)
	t.forget(k)
	if len(t.order) > 2*len(t.records)+minOrder {
		t.compact()
	}
}

// compact drops the entries of claims that are gone.
func (t *claimTable) compact() {
	kept := make([]claimAge, 0, len(t.records))
	for _, a := range t.order {
		if r, ok := t.records[a.key]; ok && r.Clock == a.clock {
			kept = append(kept, a)
		}
	}
	t.order = kept
}

// finish notes that the request of k ran, and keeps its answer.
func (t *claimTable) finish(k claimKey, clock int64, a *Answer) {
	r := t.records[k]
	r.Ran = true
	t.records[k] = r
	if a == nil {
		return
	}
	t.answers[k] = *a
	t.answerOrder = append(t.answerOrder, claimAge{key: k, clock: clock})
	t.answerBytes += len(a.Body)
	for t.answerBytes > maxAnswerBytes {
		t.forget(t.answerOrder[0].key)
		t.answerOrder = t.answerOrder[1:]
	}
}

// answer returns the kept answer of k, or nil.
func (t *claimTable) answer(k claimKey) *Answer {
	a, ok := t.answers[k]
	if !ok {
		return nil
	}
	return &a
}

// forget drops the kept answer of k.
func (t *claimTable) forget(k claimKey) {
	if a, ok := t.answers[k]; ok {
		t.answerBytes -= len(a.Body)
		delete(t.answers, k)
	}
}

// expire drops what has outlived its time at clock.
func (t *claimTable) expire(clock int64) {
	for len(t.answerOrder) > 0 && clock-t.answerOrder[0].clock >= answerLifetime {
		t.forget(t.answerOrder[0].key)
		t.answerOrder = t.answerOrder[1:]
	}
	for len(t.order) > 0 && clock-t.order[0].clock >= claimLifetime {
		a := t.order[0]
		t.order = t.order[1:]
		if r, ok := t.records[a.key]; ok && r.Clock == a.clock {
			t.remove(a.key)
		}
	}
}

// claimEntry is a claim in a snapshot.
type claimEntry struct {
	Key    claimKey
	Record claimRecord
}

// answerEntry is a kept answer in a snapshot.
type answerEntry struct {
	Key    []byte
	Clock  int64
	Answer Answer
}

// claimSnapshot is the table in a snapshot.
type claimSnapshot struct {
	// Records holds the claims by age, packed in big-endian order.
	Records []byte
	// Answers holds the kept answers by age.
	Answers []answerEntry
}

// claimCapture is the table at an instant, before it is packed.
type claimCapture struct {
	records []claimEntry
	answers []answerEntry
}

func (t *claimTable) capture() claimCapture {
	c := claimCapture{records: make([]claimEntry, 0, len(t.records))}
	for _, a := range t.order {
		if r, ok := t.records[a.key]; ok && r.Clock == a.clock {
			c.records = append(c.records, claimEntry{Key: a.key, Record: r})
		}
	}
	for _, a := range t.answerOrder {
		if x, ok := t.answers[a.key]; ok {
			c.answers = append(c.answers, answerEntry{Key: a.key[:], Clock: a.clock, Answer: x})
		}
	}
	return c
}

func (c claimCapture) encode() (claimSnapshot, error) {
	packed, err := binary.Append(nil, binary.BigEndian, c.records)
	return claimSnapshot{Records: packed, Answers: c.answers}, errors.Wrap(err, "encode claims")
}

// restoreClaims returns the table of a snapshot.
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
			return t, errors.Errorf("decode claims: a key has %d bytes", len(e.Key))
		}
		k := claimKey(e.Key)
		t.answers[k] = e.Answer
		t.answerOrder = append(t.answerOrder, claimAge{key: k, clock: e.Clock})
		t.answerBytes += len(e.Answer.Body)
	}
	return t, nil
}
