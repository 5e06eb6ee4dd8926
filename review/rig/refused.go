package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// faultyPerTen of ten answers of the faulty target are failures, as the default x of srv_grey.
	faultyPerTen   = 4
	targetsPerZone = 3
	refusedSends   = 400
	// refusedPause is the time between two requests.
	refusedPause = 25 * time.Millisecond
)

// playRefused sends requests that may run once. One of nine targets answers some of them, which
// it has run, with 503 and without the mark of a refusal.
func playRefused(d *deployment, trouble bool) (verdict, error) {
	var targets []*target
	for _, z := range zones {
		for range targetsPerZone {
			targets = append(targets, d.newTarget(fmt.Sprintf("i-%d", len(targets)+1), serviceName, z))
		}
	}
	if trouble {
		var n atomic.Int64
		targets[0].answer = func(t *target, _ *http.Request, _ string) reply {
			if n.Add(1)%10 < faultyPerTen {
				return reply{status: http.StatusServiceUnavailable, unsigned: true, body: "failed"}
			}
			return reply{status: http.StatusOK, body: "done by " + t.id}
		}
	}
	if err := d.begin("unsafe", targets); err != nil {
		return verdict{}, err
	}
	broken := 0
	for i := range refusedSends {
		id := newAttempt()
		o := d.send(d.edges[i%len(d.edges)], http.MethodPost, host, servicePath+"book", id, "one chair", 2*time.Second)
		runs := 0
		for _, t := range targets {
			runs += t.hasRun(id)
		}
		if o.status == http.StatusServiceUnavailable && runs > 0 {
			broken++
			d.rec.line("REFUSED: %s was answered 503 and has run %d times", id, runs)
		}
		time.Sleep(refusedPause)
	}
	return verdict{broken: broken > 0, text: fmt.Sprintf("%d of %d requests were answered 503 and had run", broken, refusedSends)}, nil
}
