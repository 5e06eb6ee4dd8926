// Command snipefront runs an instance of the load balancer, checks settings, or runs a
// demonstration fleet.
package main

import "github.com/snipefront/snipefront/internal/tool/inst"

func main() { inst.Main() }
