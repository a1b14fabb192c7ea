package jaydaemon_test

import (
	"bytes"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"jayfield.example/jayfieldd/internal/jaydaemon"
)

// output collects what a daemon writes. It is safe for concurrent use.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(p)
}

// until waits for a condition for as long as a slow machine may take.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not seen: ", what)
		}
	}
}

// SIGUSR1 writes the state of every part to the log; the daemon goes on.
func TestSignalDumpsState(t *testing.T) {
	caller := freeAddress()
	args := []string{
		"--config", "../../../examples/qalam.ini", "--embedded", "--listen.caller=" + caller,
		"--listen.operator=127.0.0.1:0", "--listen.peer=127.0.0.1:0", "--entry.lifetime=10ms",
	}
	var logged output
	status := make(chan int, 1)
	go func() { status <- jaydaemon.Main(args, &logged, &logged) }()
	until(t, "a listener", func() bool {
		conn, err := net.Dial("tcp", caller)
		if err != nil {
			return false
		}
		return conn.Close() == nil
	})
	signal := func(s syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	signal(syscall.SIGUSR1)
	until(t, "a dump", func() bool { return strings.Contains(logged.String(), "msg=state dump=") })
	for _, part := range []string{"config", "members", "dispatch", "once", "calls", "control", "peers"} {
		if !strings.Contains(logged.String(), `\"`+part+`\"`) {
			t.Errorf("dump lacks the part %s", part)
		}
	}
	signal(syscall.SIGTERM)
	if got := <-status; got != 0 {
		t.Errorf("status = %d: %s", got, logged.String())
	}
}
