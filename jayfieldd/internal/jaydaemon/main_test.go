package jaydaemon_test

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"jayfield.example/jayfieldd.bin/internal/jaydaemon"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"jayfieldd": func() { os.Exit(jaydaemon.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			for _, name := range []string{"CALLER", "OPERATOR", "PEER"} {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					return err
				}
				env.Setenv(name, listener.Addr().String())
				if err := listener.Close(); err != nil {
					return err
				}
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"await": await},
	})
}

// await waits until an address accepts connections.
func await(ts *testscript.TestScript, _ bool, args []string) {
	for range 2000 {
		conn, err := net.Dial("tcp", args[0])
		if err == nil {
			ts.Check(conn.Close())
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("nothing listens at %s", args[0])
}
