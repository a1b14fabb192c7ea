package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// instance is one process of the project, started with the command of the deploy file.
type instance struct {
	number int
	name   string
	zone   string
	ip     string
	root   string
	file   string
	log    string
	store  *proxy
	cmd    *exec.Cmd
}

const (
	portCaller = 18149
	portReady  = 18141
	portEntry  = 18143
	portPeer   = 17380
	portMetric = 19464
)

// settings has the lines of deploy/settings.ini, filled in.
const settings = `[instance]
name = %[1]s
region = %[2]s
zone = %[3]s

[listen]
caller = %[4]s:%[5]d
ready = %[4]s:%[6]d
entry = %[4]s:%[7]d
peer = %[4]s:%[8]d
metric = %[4]s:%[9]d

[store]
address = %[10]s

[key]
peer = instances-of-%[11]s

[drain]
time = 2500ms

[stop]
grace = 8s

[budget]
ratio = 0.2
extra = 54
window = 10s

[memory]
limit = 284

[zone]
%[12]s`

// newInstance writes the settings of an instance. Each has a loopback address of its own.
func newInstance(root, dir string, number int, zone string, zones []string, s *store) (*instance, error) {
	target, err := s.listen(number)
	if err != nil {
		return nil, err
	}
	p, address, err := newProxy(target)
	if err != nil {
		return nil, err
	}
	i := &instance{
		number: number, name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, root: root, store: p,
		ip: fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()/250%200, 1+os.Getpid()%250, number),
	}
	i.file, i.log = filepath.Join(dir, i.name+".ini"), filepath.Join(dir, i.name+".log")
	var regions strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&regions, "%s = %s\n", z, strings.TrimSuffix(z, "-a"))
	}
	text := fmt.Sprintf(settings, i.name, strings.TrimSuffix(zone, "-a"), zone, i.ip, portCaller, portReady, portEntry, portPeer, portMetric, address, "review-site", regions.String())
	return i, os.WriteFile(i.file, []byte(text), 0o600)
}

func (i *instance) start() error {
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	i.cmd = exec.Command("target/jayfieldd", "edge")
	i.cmd.Dir = i.root
	i.cmd.Env = append(os.Environ(), "JAYFIELD_SETTINGS="+i.file)
	i.cmd.Stdout, i.cmd.Stderr = log, log
	// The process ends with the script, however that ends.
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return i.cmd.Start()
}

func (i *instance) kill() {
	if i.cmd != nil && i.cmd.Process != nil {
		_ = i.cmd.Process.Kill()
		_ = i.cmd.Wait()
	}
}

func (i *instance) caller() string {
	return fmt.Sprintf("%s:%d", i.ip, portCaller)
}

func (i *instance) ready() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", i.ip, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
