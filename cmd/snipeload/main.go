// Command snipeload sends open-loop load and tells what came of it.
package main

import "github.com/snipefront/snipefront/internal/tool/load"

func main() { load.Main() }
