// Command snipectl is the operators' tool.
package main

import "github.com/snipefront/snipefront/internal/tool/oper"

func main() { oper.Main() }
