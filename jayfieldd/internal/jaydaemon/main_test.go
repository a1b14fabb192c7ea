package jaydaemon_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"jayfield.example/jayfieldd.bin/internal/jaydaemon"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"jayfieldd": func() { os.Exit(jaydaemon.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}
