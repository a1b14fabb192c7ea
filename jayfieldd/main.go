// Command jayfieldd is an entry instance of jayfield.
package main

import (
	"os"

	"jayfield.example/jayfieldd.bin/internal/jaydaemon"
)

func main() {
	os.Exit(jaydaemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
