// Command snipectl lets operators check and apply the intents of a fleet, and inspect
// its state.
package main

import "github.com/snipefront/snipefront/internal/tool/oper"

func main() { oper.Main() }
