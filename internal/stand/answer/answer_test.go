package answer_test

import (
	"testing"

	"github.com/snipefront/snipefront/internal/stand/answer"
)

// TestCheckDetectsTruncatedDamagedAndMismatchedAnswers guards against a Check that
// accepts a truncated or damaged answer, or an answer to a request that differs in its
// target, idempotency key, request ID or body.
func TestCheckDetectsTruncatedDamagedAndMismatchedAnswers(t *testing.T) {
	q := answer.Request{Target: "/balance/copier/17", IdempotencyKey: "k", RequestID: "r", Body: []byte("b")}
	intact := q.Answer()
	if got := q.Check(intact); got != answer.Intact {
		t.Errorf("Check of the intact answer is %v, want Intact", got)
	}
	for n := range intact {
		if got := q.Check(intact[:n]); got != answer.CutShort {
			t.Errorf("Check of an answer truncated to %d bytes is %v, want CutShort", n, got)
		}
		b := append([]byte(nil), intact...)
		b[n] ^= 1
		if got := q.Check(b); got != answer.CutShort {
			t.Errorf("Check of an answer changed at byte %d is %v, want CutShort", n, got)
		}
	}
	for _, other := range []answer.Request{
		{Target: "/balance/copier/1", IdempotencyKey: "k", RequestID: "r", Body: q.Body},
		{Target: q.Target, IdempotencyKey: "l", RequestID: "r", Body: q.Body},
		{Target: q.Target, IdempotencyKey: "k", RequestID: "s", Body: q.Body},
		{Target: q.Target, IdempotencyKey: "k", RequestID: "r"},
	} {
		if got := q.Check(other.Answer()); got != answer.Crossed {
			t.Errorf("Check of the answer to %+v is %v, want Crossed", other, got)
		}
	}
}
