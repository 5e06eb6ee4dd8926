// Command backend runs a stand-in backend server for tests and trials.
package main

import "github.com/snipefront/snipefront/internal/tool/stand"

func main() { stand.Main() }
