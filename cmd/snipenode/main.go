// Command snipenode runs an instance of the load balancer on the users' platform.
package main

import (
	"os"

	"github.com/snipefront/snipefront/platform"
)

func main() { os.Exit(platform.Run(os.Args[1:], os.Stdout, os.Stderr)) }
