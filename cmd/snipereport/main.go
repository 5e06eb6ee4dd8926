// Command snipereport shows how the results of the measured days of a deployment
// changed from run to run.
package main

import (
	"github.com/snipefront/snipefront/internal/tool/report"
	"github.com/snipefront/snipefront/platform/bench"
)

func main() { report.Main(bench.Read) }
