package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// mostDenied is the number of proper requests that may be denied, and one in deniedShare.
const (
	mostDenied  = 5
	deniedShare = 500
	// logLinesShown is the number of lines of the logs that a finding shows.
	logLinesShown = 4
)

// checker checks what was seen in a soak, once all have ended.
type checker struct {
	*soakRun
	arrivals map[string][]arrival
	// calm are the requests from kept connections that were lost at instances without disruption, and
	// denied those that were refused for good there.
	calm, denied []exchange
	count        map[string]int
}

// check reports all findings.
func (s *soakRun) check() {
	c := &checker{soakRun: s, arrivals: arrivalsOf(s.servers), count: map[string]int{}}
	list := s.tries.all()
	for _, e := range list {
		c.count[fmt.Sprintf("status %d", e.status)]++
		c.checkAnswer(e)
		c.checkEnd(e)
	}
	if len(c.calm) > maxLost {
		for _, e := range c.calm {
			c.report("LOST at any time", e, "kept connection")
		}
	}
	if len(c.denied) > mostDenied+len(list)/deniedShare {
		c.report("DENIED", c.denied[0], fmt.Sprintf("and %d more", len(c.denied)-1))
	}
	c.checkRuns(append(list, s.tries.skipped...))
	for _, line := range s.logLines("panic: ") {
		c.finding("ENDS", "%s", line)
	}
	s.rec.line("check: what was done: %v", s.tally)
	s.rec.line("check: %d requests: %v", len(list), c.count)
	fmt.Printf("seed %d: %d requests, %v; done: %v; %d findings\n", s.seed, len(list), c.count, s.tally, s.findings)
}

// report reports that a rule was broken at e, with all that is known of it.
func (c *checker) report(rule string, e exchange, why string) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: request %s to %s, begun at %.3f, sent at %.3f, ended at %.3f with status %d, %v; kept %v, pipelined %v",
		why, e.id, e.to, c.rec.seconds(e.began), c.rec.seconds(e.sent), c.rec.seconds(e.ended), e.status, e.err, e.kept, e.piped)
	for _, a := range c.arrivals[e.id] {
		fmt.Fprintf(&b, "\n  at %s at %.3f until %.3f: ran %v, ended %v, aborted %v", a.server.name, c.rec.seconds(a.at), c.rec.seconds(a.until), a.ran, a.ended, a.aborted)
	}
	for _, d := range c.disruptions {
		if d.x.ip == e.to && d.from.Before(e.ended) && (d.to.IsZero() || d.to.After(e.began.Add(-connectWindow))) {
			fmt.Fprintf(&b, "\n  %s: %s from %.3f to %.3f", d.x.name, d.what, c.rec.seconds(d.from), c.rec.seconds(d.to))
		}
	}
	lines := c.logLines(e.id)
	for _, line := range lines[:min(len(lines), logLinesShown)] {
		fmt.Fprintf(&b, "\n  %s", line)
	}
	c.finding(rule, "%s", b.String())
}

// checkAnswer checks MIXED, REFUSED, TWICE and DENIED.
func (c *checker) checkAnswer(e exchange) {
	if e.got.wrong != "" {
		c.report("MIXED", e, e.got.wrong)
	}
	ran := 0
	for _, a := range c.arrivals[e.id] {
		if a.ran {
			ran++
		}
	}
	if e.asked.unsafe && ran > 1 {
		c.report("TWICE", e, fmt.Sprintf("ran %d times", ran))
	}
	switch e.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if e.asked.unsafe && ran > 0 {
			c.report("REFUSED", e, "was told that it has not run")
		}
		return
	}
	if e.status >= 300 && e.status < 500 && !c.isDisrupted(e.to, e.began, e.ended) {
		c.denied = append(c.denied, e)
	}
}

// checkEnd checks LOST: a request whose connection ended without an answer, or that was broken off
// at work with another answer than the server's.
func (c *checker) checkEnd(e exchange) {
	cut := e.status == 0
	broken := e.status >= 500 && !e.got.signed && c.isAborted(e)
	if !cut && !broken {
		return
	}
	cause, planned := c.explain(e)
	if cause != "" {
		c.count["cut "+cause]++
		return
	}
	switch {
	case planned != nil:
		c.report("LOST", e, fmt.Sprintf("sent %.3f s after %s, ended %.3f s after it", e.sent.Sub(planned.from).Seconds(), planned.what, e.ended.Sub(planned.from).Seconds()))
	case cut && e.kept:
		c.rec.line("check: unanswered: %s on a kept connection to %s", e.id, e.to)
		c.calm = append(c.calm, e)
	case cut:
		c.rec.line("check: unanswered: %s on a new connection to %s", e.id, e.to)
		c.count["unanswered on a new connection"]++
	}
}

// explain returns why the rule doesn't count the end of e, or an empty cause and the planned work
// around it, if any.
func (c *checker) explain(e exchange) (string, *disruption) {
	planned := c.plannedAround(e)
	arrivals := c.arrivals[e.id]
	switch {
	case e.left:
		return "by the client", nil
	case e.sent.IsZero():
		return "before it was sent", nil
	case e.ended.Sub(e.began) >= min(e.asked.limit, e.asked.wait)-lossSlack:
		return "at the timeout", nil
	case c.isDisrupted(e.to, e.began.Add(-connectWindow), e.ended):
		return "at a disruption", nil
	case len(arrivals) == 0 && (planned == nil || e.piped || e.ended.Sub(e.sent) <= lossSlack):
		return "and not passed on", nil
	}
	for _, a := range arrivals {
		if a.broke || a.server.trouble.brokeOff(a.at.Add(-cutTime), e.ended) {
			return "by the server", nil
		}
		if planned != nil && planned.planned && a.ran && e.sent.Sub(planned.from) <= lastSend && a.until.Sub(planned.from) >= grace*5/6 {
			return "after a long run", nil
		}
	}
	return "", planned
}

// isAborted reports whether a server was at work on e when its connection was closed.
func (c *checker) isAborted(e exchange) bool {
	return c.plannedAround(e) != nil && slices.ContainsFunc(c.arrivals[e.id], func(a arrival) bool { return a.ran && a.aborted && !a.ended })
}

// isDisrupted reports whether the process at the address was disrupted, other than as planned.
func (c *checker) isDisrupted(ip string, from, to time.Time) bool {
	return slices.ContainsFunc(c.disruptions, func(d *disruption) bool {
		return d.x.ip == ip && !d.planned && d.from.Before(to) && (d.to.IsZero() || d.to.After(from))
	})
}

// plannedAround returns the planned work within which the connection of e ended: a stop, or a
// SIGHUP.
func (c *checker) plannedAround(e exchange) *disruption {
	for _, d := range slices.Backward(c.disruptions) {
		if d.x.ip == e.to && d.planned && !e.ended.Before(d.from) && e.ended.Sub(d.from) <= grace+time.Second {
			return d
		}
	}
	for _, d := range slices.Backward(c.hups) {
		if d.x.ip == e.to && !e.ended.Before(d.from) && e.sent.Sub(d.from) <= applyTime {
			return &d
		}
	}
	return nil
}

// inTouch reports whether the process at the address and all of the core ran without disruption for
// connectWindow before the given time.
func (c *checker) inTouch(ip string, at time.Time) bool {
	return !slices.ContainsFunc(c.disruptions, func(d *disruption) bool {
		return (d.x.ip == ip || d.x.role != "edge") && d.from.Before(at) && (d.to.IsZero() || d.to.Add(connectWindow).After(at))
	})
}

// checkRuns checks UNASKED, EVAC and DRAIN at the arrivals of the given requests.
func (c *checker) checkRuns(list []exchange) {
	sent := map[string]exchange{}
	for _, e := range list {
		sent[e.id] = e
	}
	for _, id := range slices.Sorted(maps.Keys(c.arrivals)) {
		for _, a := range c.arrivals[id] {
			e, ok := sent[id]
			switch {
			case !ok:
				c.finding("UNASKED", "%s reached %s at %.3f, and no client sent it", id, a.server.name, c.rec.seconds(a.at))
			case a.got != e.asked.expected():
				c.report("UNASKED", e, fmt.Sprintf("%s got %s %s %s", a.server.name, a.got.method, a.got.host, a.got.uri))
			case c.isOut(a.server.zone, a.at) && !c.isDisrupted(e.to, a.at.Add(-connectWindow), a.at):
				c.report("EVAC", e, a.server.zone+" was out of service")
			case a.server.trouble.wasLeaving(a.at) && c.inTouch(e.to, a.at):
				c.report("DRAIN", e, a.server.name+" was leaving")
			}
		}
	}
}
