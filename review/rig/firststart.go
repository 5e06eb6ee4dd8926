package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// startSpan is the time within which all machines start, at most 0.3 s.
	startSpan = 250 * time.Millisecond
	// killAfter is the time after the first start at which one process is killed.
	killAfter = 200 * time.Millisecond
	// restartDelay is the time after which a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
	// trafficAfter is the time from the start of the machines to that of traffic.
	trafficAfter = 8 * time.Second
	// trafficTime is the length of the traffic.
	trafficTime = 40 * time.Second
	// sendInterval is the time between two requests.
	sendInterval = 200 * time.Millisecond
)

// playFirstStart starts a deployment for the first time. One core process is killed once while
// the others start, and is started again with its disk. Then clients send requests.
func playFirstStart(d *deployment, trouble bool) (verdict, error) {
	begun := time.Now()
	for i, m := range d.cores {
		if i == 1 {
			time.Sleep(startSpan)
		}
		for _, role := range m.roles {
			if err := d.start(m, role, true); err != nil {
				return verdict{}, err
			}
		}
		if i == 0 && trouble {
			time.AfterFunc(killAfter, func() { d.signal(m, "core", syscall.SIGKILL) })
		}
	}
	for _, m := range d.edges {
		if err := d.start(m, "edge", true); err != nil {
			return verdict{}, err
		}
	}
	if trouble {
		first := d.cores[0]
		<-d.running[first.name+"/core"].ended
		time.Sleep(restartDelay)
		if err := d.start(first, "core", false); err != nil {
			return verdict{}, err
		}
	}
	for i, z := range zones {
		if err := d.newTarget(fmt.Sprintf("i-%d", i+1), z).listen(); err != nil {
			return verdict{}, err
		}
	}
	var acknowledged atomic.Bool
	go func() {
		err := d.order(http.MethodPost, "/v1/configuration/replace", configuration(7), trafficAfter+trafficTime)
		acknowledged.Store(err == nil)
	}()
	time.Sleep(time.Until(begun.Add(trafficAfter)))
	served, sent := 0, 0
	for end := time.Now().Add(trafficTime); time.Now().Before(end); time.Sleep(sendInterval) {
		o := d.send(d.edges[sent%len(d.edges)], http.MethodGet, host, servicePath+"1", newAttempt(), "", time.Second)
		sent++
		if o.status == http.StatusOK {
			served++
		}
	}
	text := fmt.Sprintf("%d of %d requests were served; first configuration acknowledged: %v", served, sent, acknowledged.Load())
	return verdict{broken: served == 0, text: text}, nil
}
