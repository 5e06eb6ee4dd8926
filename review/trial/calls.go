package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	statusOK      = http.StatusOK
	statusNoRoute = http.StatusNotFound
	// callTime is how long callers wait before they call another instance.
	callTime = time.Second
	// heartbeatInterval is heartbeatIntervalS of the settings.
	heartbeatInterval = 1500 * time.Millisecond

	host      = "shop.example"
	service   = "shop"
	oldPrefix = "/old/"
	newPrefix = "/new/"
)

var attempts atomic.Int64

// ask sends one request on the route with the prefix to an entry instance, on a connection of its own,
// and returns the status of the answer, or 0 if there is none.
func (d *deployment) ask(ctx context.Context, e *machine, prefix string) int {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.frontendOf(e)+prefix+"x", nil)
	if err != nil {
		return 0
	}
	r.Host, r.Close = host, true
	r.Header.Set("Attempt-Id", fmt.Sprintf("%016x", attempts.Add(1)))
	r.Header.Set("Deadline-Remaining", fmt.Sprint(callTime.Milliseconds()))
	return status(r)
}

// status sends r and returns the status of the answer, or 0 if there is no complete one.
func status(r *http.Request) int {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// post sends text to a control instance and returns the status.
func post(ctx context.Context, url, text string) int {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(text))
	if err != nil {
		return 0
	}
	r.Close = true
	r.Header.Set("Content-Type", "application/json")
	return status(r)
}

// configure sends the configuration with the version to the control instances in turn until one of
// them acknowledges it. It returns the time of that.
func (d *deployment) configure(ctx context.Context, version int, control []*machine) (time.Time, bool) {
	for i := 0; ctx.Err() == nil; i++ {
		m := control[i%len(control)]
		s := post(ctx, "http://"+d.controlOf(m)+"/v1/configuration/replace", configuration(version))
		d.rec.printf("configuration r%d sent to %s: status %d", version, m.name, s)
		if s == statusOK {
			return time.Now(), true
		}
		pause(ctx, 100*time.Millisecond)
	}
	return time.Time{}, false
}

// configuration returns the configuration with the version. From the second one on it has the new
// route.
func configuration(version int) string {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "pathPrefix": prefix, "kind": "safe", "timeoutS": 0.8, "latencyGoalS": 0.3, "priority": 1, "service": service, "attempts": 2,
		}
	}
	routes := []any{route("r-old", oldPrefix)}
	if version > 1 {
		routes = append(routes, route("r-new", newPrefix))
	}
	b, err := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("r%d", version),
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "connectionLimit": 220, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 3.7}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"hosts":    []any{map[string]any{"host": host, "paths": routes}},
	})
	if err != nil {
		panic(err) // strings and numbers can be encoded
	}
	return string(b)
}

// target is a sound backend server.
type target struct {
	deployment *deployment
	server     *http.Server
	address    string
	cancel     context.CancelFunc
	ended      sync.WaitGroup

	mu sync.Mutex
	// ran counts the runs by the id of the request.
	ran map[string]int
}

const targetName = "i-7f3a91c2"

func newTarget(d *deployment) *target { return &target{deployment: d, ran: map[string]int{}} }

// start serves requests and sends heartbeats until stop is called.
func (t *target) start(ctx context.Context) error {
	l, err := listen(ctx, "127.83.3.1:0")
	if err != nil {
		return err
	}
	t.address = l.Addr().String()
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: callTime}
	beats, cancel := context.WithCancel(context.WithoutCancel(ctx))
	t.cancel = cancel
	t.ended.Go(func() { _ = t.server.Serve(l) })
	t.ended.Go(func() { t.sendHeartbeats(beats) })
	return nil
}

func (t *target) stop() {
	if t.server == nil {
		return
	}
	t.cancel()
	t.server.Close()
	t.ended.Wait()
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", "0,0,3")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", targetName)
		return
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if r.Header.Get("Expected-Instance") != targetName {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.deployment.rec.printf("%s runs request %s: %s %s, body %q", targetName, r.Header.Get("Attempt-Id"), r.Method, r.URL.Path, body)
	t.mu.Lock()
	t.ran[r.Header.Get("Attempt-Id")]++
	t.mu.Unlock()
	w.Header().Set("Response-Signature", "s."+r.Header.Get("Attempt-Id"))
	fmt.Fprint(w, "ok")
}

// runs returns how often the target has run the request with the id.
func (t *target) runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ran[id]
}

// sendHeartbeats sends heartbeats to one control instance after the other until one acknowledges
// each.
func (t *target) sendHeartbeats(ctx context.Context) {
	const first = 2 // not one of those that freeze
	for seq := 1; ctx.Err() == nil; seq++ {
		body := fmt.Sprintf(`{"address":%q,"born":1774000000000,"information":{"service":%q,"version":"v1","zone":"b","slots":3},"status":{"state":"ready","seq":%d,"warmupRemainingS":0}}`,
			t.address, service, seq)
		for i := 0; ctx.Err() == nil; i++ {
			m := t.deployment.cores[(first+i)%len(t.deployment.cores)]
			if post(ctx, "http://"+t.deployment.controlOf(m)+"/v1/instances/"+targetName+"/heartbeat", body) == statusOK {
				break
			}
			pause(ctx, 100*time.Millisecond)
		}
		pause(ctx, heartbeatInterval)
	}
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, "tcp", address)
}
