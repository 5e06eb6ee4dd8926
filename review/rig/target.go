package main

import (
	"bufio"
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

// heartbeatInterval is the time between two heartbeats of a target.
const heartbeatInterval = 1500 * time.Millisecond

// reply is what a target sends for a request that it runs.
type reply struct {
	status int
	// signed adds the signature, and notExecuted the mark of a refusal.
	signed, notExecuted bool
	// fields are further lines of the header, each with its end.
	fields string
	body   string
}

// target is a stand-in target.
type target struct {
	d       *deployment
	id      string
	service string
	zone    string
	ip      string
	slots   int
	born    int64
	work    time.Duration

	seq     atomic.Int64
	running atomic.Int64
	mu      sync.Mutex
	next    string
}

func (d *deployment) newTarget(id, zone string) *target {
	t := &target{d: d, id: id, service: serviceName, zone: zone, ip: d.newIP(), slots: 2, work: 30 * time.Millisecond}
	t.born = bornNow()
	return t
}

// listen starts the target and its heartbeats.
func (t *target) listen() error {
	l, err := net.Listen("tcp", address(t.ip, portTarget)) //nolint:noctx // a stand-in
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	}()
	go t.heartbeats()
	return nil
}

func (t *target) serve(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		p := t.handle(r, string(body))
		if _, err := io.WriteString(c, t.format(r, p)); err != nil {
			return
		}
	}
}

func (t *target) format(r *http.Request, p reply) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", p.status, http.StatusText(p.status))
	if id := r.Header.Get("Attempt-Id"); id != "" {
		fmt.Fprintf(&b, "Attempt-Id: %s\r\n", id)
		if p.signed {
			fmt.Fprintf(&b, "Response-Signature: s-%s\r\n", id)
		}
	}
	if p.notExecuted {
		b.WriteString("Not-Executed: 1\r\n")
	}
	fmt.Fprintf(&b, "Server-Load: %d,0,%d\r\n%s", t.running.Load(), t.slots, p.fields)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(p.body), p.body)
	return b.String()
}

// handle runs or refuses one request.
func (t *target) handle(r *http.Request, body string) reply {
	id := r.Header.Get("Attempt-Id")
	expected := r.Header.Get("Expected-Instance")
	switch {
	case r.URL.Path == "/health":
		return reply{status: http.StatusOK, fields: "Instance-Id: " + t.id + "\r\n"}
	case expected != "" && expected != t.id:
		t.d.rec.line("target %s refuses %s, which is for %s", t.id, id, expected)
		return reply{status: http.StatusMisdirectedRequest, notExecuted: true}
	case id == "":
		return reply{status: http.StatusBadRequest, notExecuted: true}
	}
	if t.running.Add(1) > int64(t.slots) {
		t.running.Add(-1)
		return reply{status: http.StatusServiceUnavailable, notExecuted: true}
	}
	defer t.running.Add(-1)
	t.d.rec.line("target %s runs %s: %s %s %q", t.id, id, r.Method, r.RequestURI, body)
	time.Sleep(t.work)
	return reply{status: http.StatusOK, signed: true, body: "done by " + t.id}
}

func (t *target) heartbeats() {
	for {
		t.beat()
		time.Sleep(heartbeatInterval)
	}
}

// beat sends one heartbeat, to one control machine after the other until it is acknowledged. It
// reports whether it was.
func (t *target) beat() bool {
	var h struct {
		Address     string `json:"address"`
		Born        int64  `json:"born"`
		Information struct {
			Service string `json:"service"`
			Version string `json:"version"`
			Zone    string `json:"zone"`
			Slots   int    `json:"slots"`
		} `json:"information"`
		Status struct {
			State            string  `json:"state"`
			Seq              int64   `json:"seq"`
			WarmupRemainingS float64 `json:"warmupRemainingS"`
		} `json:"status"`
	}
	h.Address, h.Born = address(t.ip, portTarget), t.born
	h.Information.Service, h.Information.Version, h.Information.Zone, h.Information.Slots = t.service, "v1", t.zone, t.slots
	h.Status.State, h.Status.Seq = "ready", t.seq.Add(1)
	b, err := json.Marshal(h)
	if err != nil {
		return false
	}
	list := t.d.controlAddresses()
	t.mu.Lock()
	if t.next != "" {
		list = append([]string{t.next}, list...)
	}
	t.mu.Unlock()
	for _, a := range list {
		status, text, err := call(http.MethodPost, "http://"+a+"/v1/instances/"+t.id+"/heartbeat", string(b))
		if err != nil || status/100 != 2 {
			continue
		}
		var named struct {
			HeartbeatAddress string `json:"heartbeatAddress"`
		}
		_ = json.Unmarshal([]byte(text), &named) // an answer without an address names none
		t.mu.Lock()
		t.next = named.HeartbeatAddress
		t.mu.Unlock()
		return true
	}
	return false
}
