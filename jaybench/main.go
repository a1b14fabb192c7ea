// Command jaybench holds jayfield's stand-ins, demonstration and measurements.
package main

import (
	"os"

	"jayfield.example/jaybench/internal/jaycommand"
)

func main() {
	os.Exit(jaycommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
