package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// Log is the record of what was sent, answered and run. It is safe for concurrent use.
type Log struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewLog creates the record.
func NewLog(path string) (*Log, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Log{file: file, began: time.Now()}, nil
}

// Add writes a line: seconds since the start, what happened, and pairs of names and values.
func (l *Log) Add(what string, fields ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file == nil {
		return
	}
	_, _ = fmt.Fprintf(l.file, "%8.3f %s", time.Since(l.began).Seconds(), what)
	for _, field := range fields {
		_, _ = fmt.Fprintf(l.file, " %v", field)
	}
	_, _ = fmt.Fprintln(l.file)
}

// Instance is a process of the system.
type Instance struct {
	name, zone                         string
	caller, ready, entry, peer, metric string
	settings                           string
	program, root                      string
	output                             string
	// write writes the settings with new addresses.
	write func() error
	cmd   *exec.Cmd
	done  chan struct{}
}

// The ports of instances lie below those that the system gives to outgoing connections, which could take one between its
// choice and the start of its instance.
const firstPort, lastPort = 12000, 32000

// givenPorts are the ports that have been chosen.
var givenPorts = make(map[int]bool)

// freeAddress returns a free loopback address.
func freeAddress() string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if givenPorts[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		givenPorts[port] = true
		return address
	}
}

// text returns settings as deploy/settings.ini lays them out, with the bounds of the small deployments.
func (i *Instance) text(store, site, extra string) string {
	return fmt.Sprintf(`[instance]
name = %s
region = amman
zone = %s
[listen]
caller = %s
ready = %s
entry = %s
peer = %s
metric = %s
[store]
address = %s
[key]
peer = instances-of-%s
[drain]
time = 2500ms
[policy]
apply = 2500ms
[stop]
grace = 8s
[budget]
ratio = 0.2
extra = 54
window = 10s
%s[memory]
limit = 284
[zone]
amman-a = amman
irbid-a = irbid
aqaba-a = aqaba
`, i.name, i.zone, i.caller, i.ready, i.entry, i.peer, i.metric, store, site, extra)
}

// NewInstance writes the settings of an instance into a folder. It does not start the process. Store is the address at
// which the instance reaches the store, site that by which all instances of the site name it.
func NewInstance(root, folder, name, zone, store, site, extra string) (*Instance, error) {
	i := &Instance{
		name: name, zone: zone, root: root, program: filepath.Join(root, "target", "jayfieldd"),
		settings: filepath.Join(folder, name+".conf"), output: filepath.Join(folder, name+".log"),
	}
	i.write = func() error {
		i.caller, i.ready, i.entry, i.peer, i.metric = freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress()
		return os.WriteFile(i.settings, []byte(i.text(store, site, extra)), 0o600)
	}
	return i, i.write()
}

// Start starts the process with the command of the deploy file.
func (i *Instance) Start() error {
	output, err := os.OpenFile(i.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	i.cmd = exec.Command(i.program, "edge")
	i.cmd.Dir, i.cmd.Stdout, i.cmd.Stderr = i.root, output, output
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JAYFIELD_SETTINGS=" + i.settings}
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(i.cmd, i.done)
	return nil
}

// Kill ends the process at once.
func (i *Instance) Kill() {
	if i.cmd != nil && i.cmd.Process != nil {
		_ = i.cmd.Process.Kill()
		<-i.done
	}
}

// AwaitReady waits until the instance says that it is ready.
func (i *Instance) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-i.done:
			// Another program has taken one of its ports since it was chosen.
			if err := i.write(); err != nil {
				return err
			}
			if err := i.Start(); err != nil {
				return err
			}
		default:
		}
		response, err := client.Get("http://" + i.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", i.name, limit)
}
