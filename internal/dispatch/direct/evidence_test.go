package direct_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// recordCrashSize is the size of the deployment on which callers saw the incident.
var recordCrashSize = crashSize{instances: 14, servers: 28}

// evidenceSizes are the sizes at which requests that crash backend servers are played
// beside whatever hides them.
var evidenceSizes = map[string]struct {
	crashSize
	length time.Duration
	rate   float64
}{
	"14 instances":  {recordCrashSize, 40 * time.Second, 60},
	"18 instances":  {siteCrashSize, crashLength, 100},
	"132 instances": {grownCrashSize, largeCrashLength, 200},
	"300 instances": {largeCrashSize, largeCrashLength, 200},
}

// failing lets each of n backend servers fail the given share of its requests.
func failing(n int, share float64, kind failure) crashEvent {
	return func(f *crashFleet) { f.fails = someFail(f, n, share, kind) }
}

// crashesAfter sets the time for which a request runs that crashes its backend server.
func crashesAfter(run time.Duration) crashEvent {
	return func(f *crashFleet) { f.crashAfter = run }
}

// callersLeave lets the callers of requests that crash backend servers leave early, while
// the backend servers work on.
func callersLeave(patience time.Duration) crashEvent {
	return func(f *crashFleet) { f.patience, f.worksOn = patience, true }
}

// shortDeadline gives the requests that crash backend servers a short deadline, after which
// the backend servers work on.
func shortDeadline(deadline time.Duration) crashEvent {
	return func(f *crashFleet) { f.deadline, f.worksOn = deadline, true }
}

// spareOldVersion lets requests crash only the backend servers of the second version.
func spareOldVersion(f *crashFleet) {
	f.spares = func(s *crashServer) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return s.version == "v1"
	}
}

// spareFirstService lets requests crash only the backend servers of the second service.
func spareFirstService(f *crashFleet) {
	f.spares = func(s *crashServer) bool { return s.service == f.services[0] }
}

// evidenceCase is a day on which a request that crashes backend servers is hard to tell
// from others.
type evidenceCase struct {
	send   func(f *crashFleet)
	events []crashEvent
	// services are those of the route.
	services []string
}

// playEvidence plays a case at a size.
func (c evidenceCase) play(t *testing.T, size string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		day := evidenceSizes[size]
		services := c.services
		if services == nil {
			services = []string{service}
		}
		f := newSplitFleet(day.crashSize, services...)
		f.length = day.length
		for _, event := range c.events {
			event(f)
		}
		c.send(f)
		f.run(t, day.length, day.rate)
		f.checkBudget(t)
		f.checkHarmless(t, usualHarmless)
	})
}

// playAll plays each case at the sizes.
func playAll(t *testing.T, cases map[string]evidenceCase, sizes ...string) {
	t.Helper()
	for _, size := range sizes {
		for name, c := range cases {
			t.Run(size+"/"+name, func(t *testing.T) {
				t.Parallel()
				c.play(t, size)
			})
		}
	}
}

// otherServersCrash crashes another backend server each 0.7 s.
func otherServersCrash(f *crashFleet) {
	otherCrashes(700*time.Millisecond, crashStyle{back: 4 * time.Second})(f)
}

// TestServerErrorReleasesNothing guards against a request that crashes backend servers and
// is sent on and on, since some of them answer it with a server error in place of running it.
func TestServerErrorReleasesNothing(t *testing.T) {
	const ms = time.Millisecond
	playAll(t, map[string]evidenceCase{
		"each 10 ms, third servers, 5 ms":    {send: every(10*ms, 0), events: []crashEvent{failing(3, 0.5, serverError), crashesAfter(5 * ms)}},
		"each 10 ms, third servers, 100 ms":  {send: every(10*ms, 0), events: []crashEvent{failing(3, 0.5, serverError), crashesAfter(100 * ms)}},
		"each 10 ms, all servers, 100 ms":    {send: every(10*ms, 0), events: []crashEvent{failing(1, 0.05, serverError), crashesAfter(100 * ms)}},
		"each 300 ms, all servers, 37 ms":    {send: every(300*ms, 0), events: []crashEvent{failing(1, 0.4, serverError), crashesAfter(37 * ms)}},
		"each 50 ms, others crash, 300 ms":   {send: every(50*ms, 0), events: []crashEvent{failing(3, 0.5, serverError), crashesAfter(300 * ms), otherServersCrash}},
		"each 200 ms, several, others crash": {send: every(200*ms, 0, 1, 2), events: []crashEvent{failing(2, 0.5, serverError), crashesAfter(37 * ms), otherServersCrash}},
	}, "14 instances", "18 instances")
}

// TestCrashAfterCallerLeft guards against a request that crashes backend servers and is sent
// on and on, since no crash is tied to it: its callers leave, or its deadline passes, before
// the backend server crashes.
func TestCrashAfterCallerLeft(t *testing.T) {
	const ms = time.Millisecond
	playAll(t, map[string]evidenceCase{
		"each 50 ms, leave after 50 ms":                  {send: every(50*ms, 0), events: []crashEvent{callersLeave(50 * ms), crashesAfter(100 * ms)}},
		"each 300 ms, leave after 50 ms":                 {send: every(300*ms, 0), events: []crashEvent{callersLeave(50 * ms), crashesAfter(100 * ms)}},
		"each 1 s, leave after 50 ms":                    {send: every(time.Second, 0), events: []crashEvent{callersLeave(50 * ms), crashesAfter(100 * ms)}},
		"each 300 ms, leave after 250 ms":                {send: every(300*ms, 0), events: []crashEvent{callersLeave(250 * ms), crashesAfter(300 * ms)}},
		"each 300 ms, dark, leave after 50 ms":           {send: every(300*ms, 3), events: []crashEvent{callersLeave(50 * ms), crashesAfter(100 * ms)}},
		"each 200 ms, same name, leave after 50 ms":      {send: every(200*ms, 1), events: []crashEvent{callersLeave(50 * ms), crashesAfter(100 * ms), otherServersCrash}},
		"each 100 ms, deadline of 60 ms":                 {send: every(100*ms, 0), events: []crashEvent{shortDeadline(60 * ms), crashesAfter(100 * ms)}},
		"each 200 ms, leave after 170 ms, hedged":        {send: every(200*ms, 0), events: []crashEvent{callersLeave(170 * ms), crashesAfter(250 * ms)}},
		"each 100 ms, leave after 50 ms, errors, resets": {send: every(100*ms, 0, 2), events: []crashEvent{callersLeave(50 * ms), crashesAfter(100 * ms), failing(3, 0.3, reset), otherServersCrash}},
	}, "14 instances", "18 instances")
}

// TestAnswerOfOtherSoftwareReleasesNothing guards against a request that crashes the backend
// servers of one version, or of one of two services of its route, and is sent there on and on
// since the others answer it.
func TestAnswerOfOtherSoftwareReleasesNothing(t *testing.T) {
	const ms = time.Millisecond
	playAll(t, map[string]evidenceCase{
		"release, each 50 ms":       {send: every(50*ms, 0), events: []crashEvent{spareOldVersion, release}},
		"release, each 300 ms":      {send: every(300*ms, 0), events: []crashEvent{spareOldVersion, release, crashesAfter(100 * ms)}},
		"two services, each 50 ms":  {send: every(50*ms, 0), events: []crashEvent{spareFirstService}, services: []string{service, "second"}},
		"two services, each 300 ms": {send: every(300*ms, 0), events: []crashEvent{spareFirstService, crashesAfter(100 * ms)}, services: []string{service, "second"}},
	}, "14 instances", "18 instances")
}

// TestHiddenCrashesAtGrownFleets guards against the same three at 132 and 300 instances.
func TestHiddenCrashesAtGrownFleets(t *testing.T) {
	const ms = time.Millisecond
	playAll(t, map[string]evidenceCase{
		"server errors, each 20 ms":   {send: every(20*ms, 0), events: []crashEvent{failing(3, 0.5, serverError), crashesAfter(37 * ms)}},
		"callers leave, each 100 ms":  {send: every(100*ms, 0), events: []crashEvent{callersLeave(50 * ms), crashesAfter(100 * ms)}},
		"two services, others crash":  {send: every(100*ms, 0), events: []crashEvent{spareFirstService, otherServersCrash}, services: []string{service, "second"}},
		"all of it, outage, restarts": {send: every(100*ms, 0, 1), events: []crashEvent{callersLeave(50 * ms), crashesAfter(100 * ms), failing(3, 0.3, serverError), outage, restarts}},
	}, "132 instances", "300 instances")
}

// TestServersThatRunOnMakeNoCrashes guards against harmless requests that are refused since
// backend servers hang, reset connections or answer with errors while they run on, beside
// others that crash.
func TestServersThatRunOnMakeNoCrashes(t *testing.T) {
	playAll(t, map[string]evidenceCase{
		"resets":                 {send: every(300*time.Millisecond, 0), events: []crashEvent{failing(3, 0.5, reset), otherServersCrash}},
		"hangs":                  {send: every(300*time.Millisecond, 0), events: []crashEvent{muteServers, otherServersCrash}},
		"hangs, resets, no such": {send: func(*crashFleet) {}, events: []crashEvent{failing(3, 0.5, reset), muteServers, otherServersCrash}},
		"server errors":          {send: every(300*time.Millisecond, 0), events: []crashEvent{failing(3, 0.5, serverError), otherServersCrash}},
	}, "14 instances", "18 instances")
}
