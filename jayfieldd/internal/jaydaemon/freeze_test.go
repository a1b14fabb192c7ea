package jaydaemon_test

import (
	"context"
	"net/http/httptest"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"jayfield.example/jay/jayclient"
	"jayfield.example/jay/jaystandin"
)

// process is a daemon in a process of its own.
type process struct {
	*exec.Cmd
	operator string
}

// spawn starts a daemon that ends with the test.
func spawn(t *testing.T, platform, name string) *process {
	t.Helper()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{operator: freeAddress()}
	p.Cmd = exec.CommandContext(context.Background(), executable)
	p.Args = []string{
		"jayfieldd", "--config", "../../../examples/qalam.ini", "--platform.address=" + platform, "--platform.register=yes",
		"--instance.name=" + name, "--listen.caller=" + freeAddress(), "--listen.operator=" + p.operator,
		"--listen.peer=" + freeAddress(), "--lease.time=4s", "--lease.margin=500ms",
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
	})
	return p
}

// own reports whether the process says that it has authority, false where it does not answer in time.
func (p *process) own(t *testing.T) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	operator := jayclient.NewOperator("http://"+p.operator, "change-this-operator-key", "test")
	defer operator.Close()
	dump, err := operator.State(ctx)
	if err != nil {
		return false
	}
	data, err := dump.JSON()
	if err != nil {
		t.Fatal(err)
	}
	return gjson.GetBytes(data, `parts.#(part=="control").state.own`).Bool()
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// A holder that is frozen past its lease has no authority from the moment it
// runs again, even before it has read of its successor.
func TestFrozenHolderHasNoAuthority(t *testing.T) {
	platform := httptest.NewServer(jaystandin.NewPlatform().Handler())
	t.Cleanup(platform.Close)
	holder, other := spawn(t, platform.URL, "entry-1"), spawn(t, platform.URL, "entry-2")
	until(t, "a holder", func() bool {
		if other.own(t) {
			holder, other = other, holder
		}
		return holder.own(t)
	})
	if other.own(t) {
		t.Fatal("two instances have authority")
	}
	holder.signal(t, syscall.SIGSTOP)
	until(t, "a successor", func() bool { return other.own(t) })
	holder.signal(t, syscall.SIGCONT)
	for range 20 {
		if holder.own(t) {
			t.Fatal("the frozen holder still has authority")
		}
		time.Sleep(100 * time.Millisecond)
	}
	until(t, "the successor's authority", func() bool { return other.own(t) })
}
