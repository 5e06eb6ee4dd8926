// Command snipereport shows how the measured days of a deployment changed.
package main

import (
	"github.com/snipefront/snipefront/internal/tool/report"
	"github.com/snipefront/snipefront/platform/bench"
)

func main() { report.Main(bench.Read) }
