// Command jayfield is the command line of jayfield's operators and callers.
package main

import (
	"os"

	"jayfield.example/jayfield/internal/jaycommand"
)

func main() {
	os.Exit(jaycommand.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
