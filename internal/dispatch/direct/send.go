package direct

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/look"
	"github.com/snipefront/snipefront/internal/dispatch/pool"
)

const (
	// askTimeout bounds one look.
	askTimeout = 150 * time.Millisecond
	// maxReportBytes bounds the body of the answer to a look.
	maxReportBytes = 64 << 10
)

// errUnsigned means that an answer bears no sign that the backend server made it.
var errUnsigned = errors.New("answer without the backend server's signature")

// send sends c to the chosen target, at which a request is reserved.
func (d *Dispatcher) send(ctx context.Context, c *Call, t choice) attempt {
	a := d.exchange(ctx, c, t.target)
	if ctx.Err() != nil && a.response == nil {
		a.outcome = look.Neutral
	}
	t.target.Done(time.Now(), a.outcome)
	return a
}

func (d *Dispatcher) exchange(ctx context.Context, c *Call, t *look.Target) attempt {
	conn, err := d.Pool.Get(ctx, t.Server.Address, !c.Idempotent)
	if err != nil {
		return attempt{verdict: snipefront.NotRun, reason: snipefront.ReasonConnect, err: err, outcome: look.Unreachable}
	}
	if cur, takes := d.Targets.Current(t.Server.Name); !takes || cur.Server.Incarnation != t.Server.Incarnation {
		d.Pool.Put(conn)
		return attempt{verdict: snipefront.NotRun, reason: snipefront.ReasonNoBackendServer, err: errors.New("backend server left"), outcome: look.Unreachable}
	}
	e := pool.Exchange{
		Head: d.head(c, t, time.Until(c.Deadline)), Body: c.Body, Method: c.Method,
		IDField: d.Fields.RequestID, ID: c.ID, MaxBytes: maxAnswerBytes,
	}
	reusable, err := e.Do(ctx, conn)
	if reusable {
		d.Pool.Put(conn)
	}
	if err != nil {
		return attempt{verdict: snipefront.MayHaveRun, reason: snipefront.ReasonBrokenAnswer, err: err, outcome: look.Faulty}
	}
	return d.judge(&e, t)
}

// judge tells what an answer means.
func (d *Dispatcher) judge(e *pool.Exchange, t *look.Target) attempt {
	h := e.Response.Header
	status := e.Response.StatusCode
	signed := h.Get(d.Fields.Signature) != ""
	switch {
	case status == http.StatusMisdirectedRequest:
		return attempt{verdict: snipefront.NotRun, reason: snipefront.ReasonNoBackendServer, err: errors.New("another backend server has the address"), outcome: look.Unreachable}
	case h.Get(d.Fields.NotRun) != "":
		return attempt{verdict: snipefront.NotRun, reason: snipefront.ReasonShed, err: errors.Errorf("backend server refused with status %d", status), outcome: look.Neutral}
	case !signed && status < http.StatusMultipleChoices:
		return attempt{verdict: snipefront.MayHaveRun, reason: snipefront.ReasonBrokenAnswer, err: errUnsigned, outcome: look.Faulty}
	}
	a := attempt{verdict: snipefront.Ran, reason: snipefront.ReasonBackendServer, outcome: look.Answered}
	a.response = &snipefront.Response{Status: status, Header: h, Body: e.Answer, BackendServer: t.Server.Name}
	if isFailure(a.response) {
		a.outcome = look.Faulty
	}
	return a
}

// head returns the request line and header for t, which is told to stop work when
// left is over.
func (d *Dispatcher) head(c *Call, t *look.Target, left time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(c.Method)
	b.WriteByte(' ')
	b.WriteString(c.Target)
	b.WriteString(" HTTP/1.1\r\n")
	_ = c.Header.Write(&b) // a Buffer takes all
	field(&b, d.Fields.Remaining, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	field(&b, d.Fields.Expected, t.Server.Name)
	if len(c.Body) > 0 || c.Method != http.MethodGet && c.Method != http.MethodHead {
		field(&b, "Content-Length", strconv.Itoa(len(c.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func field(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// Ask implements look.Asker.
func (d *Dispatcher) Ask(t *look.Target) (look.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	r, err := d.ask(ctx, t)
	d.Counter.Probed(t.Server.Service, err == nil)
	if err != nil {
		d.Logger.Info("look failed", "server", t.Server.Name, "service", t.Server.Service, "address", t.Server.Address, "error", err)
	}
	return r, err
}

func (d *Dispatcher) ask(ctx context.Context, t *look.Target) (look.Report, error) {
	conn, err := d.Pool.Get(ctx, t.Server.Address, false)
	if err != nil {
		return look.Report{}, err
	}
	var b bytes.Buffer
	b.WriteString("GET " + t.Profile.HealthPath + " HTTP/1.1\r\nHost: " + t.Server.Address + "\r\n\r\n")
	e := pool.Exchange{Head: b.Bytes(), Method: http.MethodGet, MaxBytes: maxReportBytes}
	at := time.Now()
	reusable, err := e.Do(ctx, conn)
	if err != nil {
		return look.Report{}, err
	}
	if reusable {
		d.Pool.Put(conn)
	}
	return look.ReportOf(d.Fields, e.Response.StatusCode, e.Response.Header, at), nil
}
