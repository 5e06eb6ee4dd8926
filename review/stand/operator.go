package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// orderTimeout is the time after which the operator and the backend servers call another
// control instance.
const orderTimeout = time.Second

// order sends one order of the operator to the control instances in turn, until one
// acknowledges it.
func (p *platform) order(ctx context.Context, controls []string, path, body string) error {
	for round := range 8 {
		for _, address := range controls {
			p.rec.line("operator: POST %s to %s", path, address)
			status, err := post(ctx, address, path, body)
			p.rec.line("operator: POST %s at %s: status %d, %v", path, address, status, err)
			switch {
			case err == nil && status/100 == 2:
				return nil
			case err == nil && status/100 == 4:
				return fmt.Errorf("order %s refused with status %d", path, status)
			case ctx.Err() != nil:
				return ctx.Err()
			}
		}
		time.Sleep(time.Duration(round+1) * 100 * time.Millisecond)
	}
	return fmt.Errorf("order %s not acknowledged", path)
}

// post makes one call over a connection of its own, which it closes after the answer or
// after orderTimeout.
func post(ctx context.Context, address, path, body string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// route is a route of a configuration. Times are in seconds.
type route struct {
	name, host, prefix, kind string
	timeout, goal            float64
}

// configuration returns the body of a configuration with one service.
func configuration(version int, service string, routes []route) string {
	s := fmt.Sprintf(`{"name":%q,"healthPath":"/health","connectionLimit":220,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":3.7}`, service)
	var h []string
	for _, v := range routes {
		h = append(h, fmt.Sprintf(`{"host":%q,"paths":[{"name":%q,"pathPrefix":%q,"kind":%q,"timeoutS":%g,"latencyGoalS":%g,"priority":1,"service":%q,"attempts":2}]}`,
			v.host, v.name, v.prefix, v.kind, v.timeout, v.goal, service))
	}
	return fmt.Sprintf(`{"version":"r%d","services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"hosts":[%s]}`,
		version, s, strings.Join(h, ","))
}
