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
	// gentle is the time for which few requests are sent, so that the cold start
	// leaves no backlog.
	gentle = 2 * warmUp
	// gentleShare is the share of the capacity that is sent then at most.
	gentleShare = 0.15
	// settle is the time before requests are measured.
	settle = 4 * warmUp
)

// Policy is a way to choose. A nil Pick stands for routers and cells.
type Policy struct {
	Name string
	Pick func() snipefront.Picker
}

// Load is what a run puts on the backend servers.
type Load struct {
	// Share is the arrivals as a share of the capacity at full speed, or of the
	// mean speed while it shifts.
	Share float64
	// Shifting lets the speeds of the backend servers shift.
	Shifting bool
	// Length is the time for which requests are sent and measured.
	Length time.Duration
	// Seed decides the arrivals, the work and the speeds.
	Seed uint64
	// Chill lets a backend server in eight fall back into cold start half way.
	Chill bool
	// Fail lets one backend server of each service fail at once from half way.
	Fail bool
	// Hang lets one backend server of each service go without an answer from half
	// way.
	Hang bool
	// Hedge is the share of requests that cells may send a second time.
	Hedge float64
	// Leave takes a data centre out for the middle third.
	Leave bool
}

// call is one request.
type call struct {
	service  *Service
	work     time.Duration
	deadline time.Time
	random   uint64
	arrived  time.Time
	measured bool
}

// end is how a request ended.
type end struct {
	call   call
	status status
	taken  time.Duration
}

// server is either way of serving.
type server interface {
	serve(ctx context.Context, c call) status
}

// Run sends the load and returns what came of it.
func Run(ctx context.Context, z Size, p Policy, l Load) Result {
	servers := backends(z, l)
	s, stop := begin(ctx, z, p, l, servers)
	ends := make(chan end)
	counts := make(chan int)
	for i := range z.Services {
		go send(ctx, s, &z.Services[i], l, uint64(i), ends, counts)
	}
	res := newResult(z, p, l)
	sent, ended := 0, 0
	for open := len(z.Services); open > 0 || ended < sent; {
		select {
		case n := <-counts:
			sent += n
			open--
		case e := <-ends:
			ended++
			res.add(e)
		}
	}
	stop()
	res.close(servers)
	if f, ok := s.(*fleet); ok {
		res.Hops, res.Moves, res.Hedges = f.hops.Load(), f.moves.Load(), f.hedges.Load()
	}
	return res
}

// begin starts what goes on beside the requests and returns how to end it.
func begin(ctx context.Context, z Size, p Policy, l Load, servers []*backend) (server, func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	var s server
	var publish func(out map[string]bool)
	if p.Pick == nil {
		f := newFleet(z, servers, l.Seed)
		f.hedge = l.Hedge
		s, publish = f, f.publish
		go func() { close(done) }()
	} else {
		c := newChoosers(z, servers, p.Pick)
		s, publish = c, func(map[string]bool) {}
		go func() {
			defer close(done)
			for timer.Sleep(ctx, reportInterval) {
				c.sample()
			}
		}()
	}
	troubled := make(chan struct{})
	go func() {
		defer close(troubled)
		trouble(ctx, l, servers, publish)
	}()
	return s, func() {
		cancel()
		<-done
		<-troubled
	}
}

// trouble brings about the faults of l.
func trouble(ctx context.Context, l Load, servers []*backend, publish func(map[string]bool)) {
	if l.Leave {
		if !timer.Sleep(ctx, settle+l.Length/3) {
			return
		}
		move(servers, true)
		publish(map[string]bool{dataCentre(0): true})
		if !timer.Sleep(ctx, l.Length/3) {
			return
		}
		move(servers, false)
		publish(nil)
		return
	}
	if !timer.Sleep(ctx, settle+l.Length/2) {
		return
	}
	for i, b := range servers {
		if l.Chill && i%8 == 0 {
			b.chill()
		}
		first := i == 0 || servers[i-1].announced.Service != b.announced.Service
		if l.Fail && first {
			b.fail(true)
		}
		if l.Hang && first {
			b.hang()
		}
	}
}

func move(servers []*backend, out bool) {
	for _, b := range servers {
		if b.announced.DataCentre == dataCentre(0) {
			b.leaveService(out)
		}
	}
}

func backends(z Size, l Load) []*backend {
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
				warm:      now.Add(warmUp),
			})
		}
	}
	return list
}

// send starts the requests of one service and then reports their number.
func send(ctx context.Context, s server, v *Service, l Load, stream uint64, ends chan<- end, counts chan<- int) {
	capacity := v.Capacity()
	if l.Shifting {
		capacity *= (1 + slowSpeed) / 2
	}
	random := rand.New(rand.NewPCG(l.Seed, stream))
	begun := time.Now()
	n := 0
	for {
		rate := capacity * l.Share
		if time.Since(begun) < gentle {
			rate = capacity * min(l.Share, gentleShare)
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		now := time.Now()
		if now.Sub(begun) > settle+l.Length {
			break
		}
		c := call{
			service:  v,
			work:     time.Duration(random.ExpFloat64() * float64(v.Work)),
			deadline: now.Add(v.Deadline),
			random:   random.Uint64(),
			arrived:  now,
			measured: now.Sub(begun) > settle,
		}
		n++
		go func() { ends <- run(ctx, s, c) }()
	}
	counts <- n
}

func run(ctx context.Context, s server, c call) end {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	e := end{call: c, status: s.serve(ctx, c)}
	e.taken = time.Since(c.arrived)
	return e
}

func dataCentre(i int) string {
	return "dc" + strconv.Itoa(i%dataCentres)
}

func encode(d time.Duration) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(d))
}

func decode(b []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint64(b))
}
