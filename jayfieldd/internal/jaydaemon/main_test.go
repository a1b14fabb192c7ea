package jaydaemon_test

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"jayfield.example/jayfieldd/internal/jaydaemon"
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
				env.Setenv(name, freeAddress())
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"await": await},
	})
}

// Ports are below those that the system gives to connections and to other
// tests, which might take a free one in between.
const (
	firstPort = 20_000
	portCount = 9_000
	// portSpacing keeps the ports of processes with neighbouring numbers apart: a port is free
	// for a moment while its instance starts again, and another process might take it.
	portSpacing = 1_009
)

// lastPort counts the ports given out.
var lastPort atomic.Int64

// freeAddress returns an address that nothing listens at.
func freeAddress() string {
	for {
		port := firstPort + (int64(os.Getpid())*portSpacing+lastPort.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
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
