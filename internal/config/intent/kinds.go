package intent

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/config/strict"
)

// The kinds of intent.
const (
	kindService         = "Service"
	kindDataCentreOut   = "DataCentreOut"
	kindSpare           = "Spare"
	kindMeasuringBudget = "MeasuringBudget"

	kindExpected = "Service, DataCentreOut, Spare or MeasuringBudget"
)

// Defaults and bounds of the fields of intents.
const (
	defaultDeadline    = time.Second
	minDeadline        = time.Millisecond
	maxDeadline        = 10 * time.Minute
	defaultColdLimit   = 1
	defaultWarmUp      = time.Second
	maxColdLimit       = 10_000
	defaultRetryBudget = 0.1
	defaultHedgeBudget = 0.05
	maxProbePathBytes  = 1024
	maxProbesPerSecond = 1_000_000
	// maxRefusalStatus is the highest status of an HTTP server error.
	maxRefusalStatus = 599
)

const (
	importanceExpected = "Critical, Normal or Background"
	shareExpected      = "a number from 0 to 1"
)

func parseService(d *strict.Decoder, content []byte) applyFunc {
	f := struct {
		Kind            string
		Name            string
		Importance      string `want:"Critical, Normal or Background"`
		Deadline        time.Duration
		ColdLimit       int
		WarmUp          time.Duration
		RetryBudget     float64 `want:"a number from 0 to 1"`
		HedgeBudget     float64 `want:"a number from 0 to 1"`
		RefusalStatuses []int
		ProbePath       string
	}{
		Importance:  "Normal",
		Deadline:    defaultDeadline,
		ColdLimit:   defaultColdLimit,
		WarmUp:      defaultWarmUp,
		RetryBudget: defaultRetryBudget,
		HedgeBudget: defaultHedgeBudget,
	}
	d.Decode(content, &f)
	importance, ok := parseImportance(f.Importance)
	d.Require(strict.IsName(f.Name), "Name", f.Name, strict.NameExpected)
	d.Require(ok, "Importance", f.Importance, importanceExpected)
	d.Require(f.Deadline >= minDeadline && f.Deadline <= maxDeadline, "Deadline", f.Deadline,
		fmt.Sprintf("a duration from %v to %v", minDeadline, maxDeadline))
	d.Require(f.ColdLimit >= 1 && f.ColdLimit <= maxColdLimit, "ColdLimit", f.ColdLimit,
		fmt.Sprintf("a whole number from 1 to %d", maxColdLimit))
	d.Require(f.WarmUp >= 0 && f.WarmUp <= snipefront.MaxWarmUp, "WarmUp", f.WarmUp,
		fmt.Sprintf("a duration from 0s to %v", snipefront.MaxWarmUp))
	d.Require(isShare(f.RetryBudget), "RetryBudget", f.RetryBudget, shareExpected)
	d.Require(isShare(f.HedgeBudget), "HedgeBudget", f.HedgeBudget, shareExpected)
	checkStatuses(d, f.RefusalStatuses)
	d.Require(f.ProbePath == "" || isProbePath(f.ProbePath), "ProbePath", f.ProbePath,
		"an absolute URL path such as /health")
	s := snipefront.Service{
		Name:            f.Name,
		Importance:      importance,
		Deadline:        f.Deadline,
		ColdLimit:       f.ColdLimit,
		WarmUp:          f.WarmUp,
		RetryBudget:     f.RetryBudget,
		HedgeBudget:     f.HedgeBudget,
		RefusalStatuses: f.RefusalStatuses,
		ProbePath:       f.ProbePath,
	}
	return func(b *builder, _ string) { b.config.Services[s.Name] = s }
}

func parseDataCentreOut(d *strict.Decoder, content []byte) applyFunc {
	f := struct {
		Kind       string
		DataCentre string
		Out        bool
	}{Out: true}
	d.Decode(content, &f)
	d.Require(strict.IsName(f.DataCentre), "DataCentre", f.DataCentre, strict.NameExpected)
	return func(b *builder, _ string) {
		if f.Out {
			b.config.DataCentresOut[f.DataCentre] = true
			return
		}
		delete(b.config.DataCentresOut, f.DataCentre)
	}
}

func parseSpare(d *strict.Decoder, content []byte) applyFunc {
	f := struct {
		Kind          string
		Service       string
		BackendServer string
		Spare         bool
	}{Spare: true}
	d.Decode(content, &f)
	d.Require(strict.IsName(f.Service), "Service", f.Service, strict.NameExpected)
	d.Require(strict.IsServerName(f.BackendServer), "BackendServer", f.BackendServer, strict.ServerNameExpected)
	name := snipefront.SpareName{Service: f.Service, BackendServer: f.BackendServer}
	return func(b *builder, file string) {
		if f.Spare {
			b.config.Spares[name] = true
			b.spareFiles[name] = file
			return
		}
		delete(b.config.Spares, name)
	}
}

func parseMeasuringBudget(d *strict.Decoder, content []byte) applyFunc {
	f := struct {
		Kind            string
		ProbesPerSecond float64
	}{ProbesPerSecond: -1} // Invalid, so that a file must set the field.
	d.Decode(content, &f)
	ok := f.ProbesPerSecond >= 0 && f.ProbesPerSecond <= maxProbesPerSecond
	d.Require(ok, "ProbesPerSecond", f.ProbesPerSecond, fmt.Sprintf("a number from 0 to %d", maxProbesPerSecond))
	return func(b *builder, _ string) { b.config.ProbesPerSecond = f.ProbesPerSecond }
}

func checkStatuses(d *strict.Decoder, statuses []int) {
	for i, s := range statuses {
		ok := s >= http.StatusBadRequest && s <= maxRefusalStatus && !slices.Contains(statuses[:i], s)
		d.Require(ok, fmt.Sprintf("RefusalStatuses[%d]", i), s, "a status from 400 to 599, each once")
	}
}

func parseImportance(s string) (snipefront.Importance, bool) {
	switch s {
	case "Critical":
		return snipefront.Critical, true
	case "Normal":
		return snipefront.Normal, true
	case "Background":
		return snipefront.Background, true
	default:
		return 0, false
	}
}

func isShare(f float64) bool { return f >= 0 && f <= 1 }

// isProbePath reports whether s is an absolute path without a host.
func isProbePath(s string) bool {
	if len(s) > maxProbePathBytes || !strings.HasPrefix(s, "/") || strings.HasPrefix(s, "//") {
		return false
	}
	u, err := url.ParseRequestURI(s)
	return err == nil && u.Host == "" && !strings.ContainsAny(s, " #")
}
