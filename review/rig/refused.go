package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// faultyPerTen of ten answers of the faulty target are failures, as the default x of srv_grey.
	faultyPerTen   = 4
	targetsPerZone = 3
	refusedClients = 9
	// refusedSends is the number of requests of each client.
	refusedSends = 60
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
	var broken atomic.Int64
	var clients sync.WaitGroup
	for client := range refusedClients {
		clients.Go(func() {
			for range refusedSends {
				if d.isRefusedAfterRun(targets, d.edges[client%len(d.edges)]) {
					broken.Add(1)
				}
			}
		})
	}
	clients.Wait()
	return verdict{broken: broken.Load() > 0, text: fmt.Sprintf("%d of %d requests were answered 503 and had run", broken.Load(), refusedClients*refusedSends)}, nil
}

// isRefusedAfterRun sends a request to m and reports whether it was answered with 503 and has run.
func (d *deployment) isRefusedAfterRun(targets []*target, m *machine) bool {
	id := newAttempt()
	o := d.send(m, http.MethodPost, host, servicePath+"book", id, "one chair", 2*time.Second)
	runs := 0
	for _, t := range targets {
		runs += t.hasRun(id)
	}
	if o.status != http.StatusServiceUnavailable || runs == 0 {
		return false
	}
	d.rec.line("REFUSED: %s was answered 503 and has run %d times", id, runs)
	return true
}
