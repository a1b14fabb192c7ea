// Command jayfieldd is an entry instance of jayfield.
package main

import (
	"os"

	"jayfield.example/jayfieldd/internal/jaydaemon"
)

func main() {
	os.Exit(jaydaemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
