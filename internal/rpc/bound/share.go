package bound

import (
	"runtime/debug"
	"time"
)

// The shares of the memory of an instance. The rest is for all else: its code and goroutines,
// connections, the state of the fleet, and the work of the garbage collector.
const (
	longBodiesShare   = 0.37
	shortBodiesShare  = 0.05
	longAnswersShare  = 0.25
	shortAnswersShare = 0.05
)

// heapShare is the share of the memory of a process above which the garbage collector spends
// more time to use less.
const heapShare = 0.9

// bodyWait is how long a request waits for the memory of earlier ones to be collected.
const bodyWait = 100 * time.Millisecond

// Bodies bounds the requests and the answers that an instance holds.
type Bodies struct {
	// Requests refuses a request for which there is no memory soon.
	Requests *Memory
	// Answers lets a long answer wait until its deadline, since its request has run.
	Answers *Memory
}

// Share returns the bounds for an instance with the given memory, of whose answers none is
// longer than maxAnswer, in bytes.
func Share(memory, maxAnswer int64) Bodies {
	part := func(share float64) int64 { return int64(share * float64(memory)) }
	return Bodies{
		Requests: &Memory{Limit: part(longBodiesShare), Reserve: part(shortBodiesShare), Wait: bodyWait},
		Answers:  &Memory{Limit: part(longAnswersShare), Reserve: part(shortAnswersShare), Spare: maxAnswer},
	}
}

// LimitHeap keeps the garbage of this process within its memory, in bytes.
func LimitHeap(memory int64) { debug.SetMemoryLimit(int64(heapShare * float64(memory))) }
