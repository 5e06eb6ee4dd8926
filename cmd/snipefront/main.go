// Command snipefront runs an instance of the load balancer.
package main

import "github.com/snipefront/snipefront/internal/tool/inst"

func main() { inst.Main() }
