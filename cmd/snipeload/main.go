// Command snipeload sends open-loop load and prints a summary of the answers.
package main

import "github.com/snipefront/snipefront/internal/tool/load"

func main() { load.Main() }
