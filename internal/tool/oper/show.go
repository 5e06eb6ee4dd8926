package oper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/snipefront/snipefront/internal/config/client"
)

func show(ctx context.Context, t *terminal, args []string) error {
	f := newFlags(t, "show", "", "show -addr 10.1.0.4:8082")
	r := f.addRemoteFlags()
	if err := f.parse(args, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.wait)
	defer cancel()
	accepted, err := r.client().Config(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.Output, "revision %d, %d files\n", accepted.Revision, len(accepted.Files))
	for _, file := range accepted.Files {
		var line bytes.Buffer
		if err := json.Compact(&line, file.Content); err != nil {
			return fmt.Errorf("%s: %w", file.Name, err)
		}
		fmt.Fprintf(t.Output, "%s %s\n", file.Name, &line)
	}
	return nil
}

func history(ctx context.Context, t *terminal, args []string) error {
	f := newFlags(t, "history", "", "history -addr 10.1.0.4:8082")
	r := f.addRemoteFlags()
	if err := f.parse(args, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.wait)
	defer cancel()
	accepted, err := r.client().History(ctx)
	if err != nil {
		return err
	}
	w := newTable(t.Output)
	row(w, "REVISION", "CHANGE", "WRITTEN", "REMOVED")
	for _, c := range accepted.Changes {
		row(w, c.Revision, c.ChangeID, joinOrDash(c.Written), joinOrDash(c.Removed))
	}
	return w.Flush()
}

func showStatus(ctx context.Context, t *terminal, args []string) error {
	f := newFlags(t, "status", "", "status -addr 10.1.0.4:8082")
	r := f.addRemoteFlags()
	if err := f.parse(args, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.wait)
	defer cancel()
	s, err := r.client().Status(ctx)
	if err != nil {
		return err
	}
	return printStatus(t.Output, &s)
}

func printStatus(output io.Writer, s *client.Status) error {
	w := newTable(output)
	row(w, "INSTANCE", "LEADER", "TERM", "EPOCH", "SETTLED", "REVISION", "CLAIMS", "LEASE")
	row(w, s.Instance, orDash(s.Leader), s.Term, s.Epoch, s.Settled, s.Revision, s.Claims, s.Lease())
	fmt.Fprintln(w)
	row(w, "MEMBER", "DATA CENTRE", "CALLERS", "PEERS", "EPOCH", "REVISION")
	for _, m := range s.Members {
		row(w, m.Name, m.DataCentre, m.CallerAddress, m.PeerAddress, m.Epoch, m.Revision)
	}
	fmt.Fprintln(w)
	row(w, "SERVICE", "DATA CENTRE", "OWNER", "IN FLIGHT", "QUEUED", "FREE")
	for _, c := range s.Cells {
		row(w, c.Service, c.DataCentre, orDash(c.Owner), c.InFlight, c.Queued, c.Free)
	}
	fmt.Fprintln(w)
	row(w, "BACKEND SERVER", "SERVICE", "DATA CENTRE", "ADDRESS", "STATE", "IN FLIGHT", "LIMIT", "SLOTS", "NO WORK BECAUSE")
	for _, c := range s.Cells {
		for _, b := range c.BackendServers {
			row(w, b.Name, c.Service, c.DataCentre, b.Address, b.State, b.InFlight, b.Limit, b.Slots, orDash(b.Reason))
		}
	}
	return w.Flush()
}

func newTable(output io.Writer) *tabwriter.Writer {
	const columnGap = 2
	return tabwriter.NewWriter(output, 0, 0, columnGap, ' ', 0)
}

// row writes the cells of one line of a table.
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

func joinOrDash(list []string) string {
	return orDash(strings.Join(list, ","))
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
