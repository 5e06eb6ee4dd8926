package bench

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
)

const (
	okStatus     = 200
	failedStatus = 500
	// rampUp is the time at the start for which few requests are sent, so that the
	// cold start leaves no backlog.
	rampUp = 2 * warmUp
	// rampUpShare is the maximum arrival rate during rampUp, as a share of the capacity.
	rampUpShare = 0.15
	// settleTime is the time at the start for which requests are not measured.
	settleTime = 4 * warmUp
)

// Policy is a load balancing policy. Run calls Pick for a new picker for each of the
// independent load balancers. If Pick is nil, the run uses routers and cells.
type Policy struct {
	Name string
	Pick func() snipefront.Picker
}

// Load describes the requests and the faults of a run.
type Load struct {
	// Share is the arrival rate as a share of the capacity of the backend servers at
	// full speed, or at their mean speed if Shifting is true.
	Share float64
	// Shifting makes the speeds of the backend servers change after each shiftInterval.
	Shifting bool
	// Length is the time for which requests are measured.
	Length time.Duration
	// Seed determines the arrivals, the work and the speeds.
	Seed uint64
	// Chill makes every eighth backend server cold again halfway through Length,
	// without an announcement.
	Chill bool
	// Fail makes one backend server of each service fail every request immediately,
	// from halfway through Length.
	Fail bool
	// Hang makes one backend server of each service leave every request without an
	// answer, from halfway through Length.
	Hang bool
	// Hedge is the share of requests that cells may hedge.
	Hedge float64
	// Leave takes a data centre out of service for the middle third of Length. With it,
	// Chill, Fail and Hang have no effect.
	Leave bool
}

// call is one request of the simulated load.
type call struct {
	service *Service
	// work is the service time at full speed.
	work     time.Duration
	deadline time.Time
	// random is the source of the random choices that are made for the request.
	random   uint64
	arrived  time.Time
	measured bool
}

// completion is a finished request with its outcome.
type completion struct {
	call    call
	status  status
	latency time.Duration
}

// system is the system under test: balancers or fleet.
type system interface {
	serve(ctx context.Context, c call) status
}

// Run sends the load, waits until all requests have ended and returns the outcome.
func Run(ctx context.Context, z Size, p Policy, l Load) Result {
	servers := newBackends(z, l)
	s, stop := start(ctx, z, p, l, servers)
	completions := make(chan completion)
	counts := make(chan int)
	for i := range z.Services {
		go generateLoad(ctx, s, &z.Services[i], l, uint64(i), completions, counts)
	}
	res := newResult(z, p, l)
	sent, ended := 0, 0
	for open := len(z.Services); open > 0 || ended < sent; {
		select {
		case n := <-counts:
			sent += n
			open--
		case c := <-completions:
			ended++
			res.add(c)
		}
	}
	stop()
	res.addServers(servers)
	if f, ok := s.(*fleet); ok {
		res.Hops, res.Moves, res.Hedges = f.forwards.Load(), f.retries.Load(), f.hedges.Load()
	}
	return res
}

// start returns the system under test and starts the sampling of load reports and the
// injection of faults. The function that it returns stops them.
func start(ctx context.Context, z Size, p Policy, l Load, servers []*backend) (system, func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	var s system
	var setOut func(out map[string]bool)
	if p.Pick == nil {
		f := newFleet(z, servers, l.Seed)
		f.hedgeShare = l.Hedge
		s, setOut = f, f.applyConfig
		go func() { close(done) }()
	} else {
		lb := newBalancers(z, servers, p.Pick)
		s, setOut = lb, func(map[string]bool) {}
		go func() {
			defer close(done)
			for timer.Sleep(ctx, reportInterval) {
				lb.sample()
			}
		}()
	}
	injected := make(chan struct{})
	go func() {
		defer close(injected)
		injectFaults(ctx, l, servers, setOut)
	}()
	return s, func() {
		cancel()
		<-done
		<-injected
	}
}

// injectFaults injects the faults of l, and returns early when ctx is done. It calls
// setOut with the data centres that are out of service after each change.
func injectFaults(ctx context.Context, l Load, servers []*backend, setOut func(map[string]bool)) {
	if l.Leave {
		if !timer.Sleep(ctx, settleTime+l.Length/3) {
			return
		}
		setOutOfService(servers, true)
		setOut(map[string]bool{dataCentre(0): true})
		if !timer.Sleep(ctx, l.Length/3) {
			return
		}
		setOutOfService(servers, false)
		setOut(nil)
		return
	}
	if !timer.Sleep(ctx, settleTime+l.Length/2) {
		return
	}
	for i, b := range servers {
		if l.Chill && i%8 == 0 {
			b.beginColdStart()
		}
		first := i == 0 || servers[i-1].announced.Service != b.announced.Service
		if l.Fail && first {
			b.setFailing(true)
		}
		if l.Hang && first {
			b.hang()
		}
	}
}

// setOutOfService sets whether the first data centre is out of service at its backend
// servers, so that they count the requests that they still receive.
func setOutOfService(servers []*backend, out bool) {
	for _, b := range servers {
		if b.announced.DataCentre == dataCentre(0) {
			b.setOut(out)
		}
	}
}

func newBackends(z Size, l Load) []*backend {
	var list []*backend
	now := time.Now()
	for _, s := range z.Services {
		for i := range s.Servers {
			list = append(list, &backend{
				announced: snipefront.BackendServer{
					Name:        s.Name + "-" + strconv.Itoa(i),
					Service:     s.Name,
					DataCentre:  dataCentre(i),
					Incarnation: 1,
					Slots:       s.Slots,
					Expires:     now.Add(time.Hour),
				},
				coldLimit: s.ColdLimit,
				shifting:  l.Shifting,
				seed:      mix(l.Seed ^ uint64(len(list))<<32),
				origin:    now,
				slots:     make(chan struct{}, s.Slots),
				coldUntil: now.Add(warmUp),
			})
		}
	}
	return list
}

// generateLoad starts the requests of service svc on a Poisson schedule, which the seed of
// l and stream determine. Each request sends its completion when it ends. At the end of
// the schedule, generateLoad sends the number of requests to counts.
func generateLoad(ctx context.Context, s system, svc *Service, l Load, stream uint64, completions chan<- completion, counts chan<- int) {
	capacity := svc.Capacity()
	if l.Shifting {
		capacity *= (1 + slowSpeed) / 2
	}
	random := rand.New(rand.NewPCG(l.Seed, stream))
	started := time.Now()
	n := 0
	for {
		rate := capacity * l.Share
		if time.Since(started) < rampUp {
			rate = capacity * min(l.Share, rampUpShare)
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		now := time.Now()
		if now.Sub(started) > settleTime+l.Length {
			break
		}
		c := call{
			service:  svc,
			work:     time.Duration(random.ExpFloat64() * float64(svc.Work)),
			deadline: now.Add(svc.Deadline),
			random:   random.Uint64(),
			arrived:  now,
			measured: now.Sub(started) > settleTime,
		}
		n++
		go func() { completions <- serveCall(ctx, s, c) }()
	}
	counts <- n
}

func serveCall(ctx context.Context, s system, c call) completion {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	done := completion{call: c, status: s.serve(ctx, c)}
	done.latency = time.Since(c.arrived)
	return done
}

func dataCentre(i int) string {
	return "dc" + strconv.Itoa(i%dataCentres)
}

func encodeWork(d time.Duration) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(d))
}

func decodeWork(b []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint64(b))
}
