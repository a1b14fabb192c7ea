package jaysite_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"jayfield.example/jay/jaysite"
)

// Guards against a request that is read whole during a planned stop and gets no answer, so that its caller
// cannot know whether it ran.
func TestRequestReadInPlannedStopIsAnswered(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, func(p *jaysite.Plan) { p.Lifetime = 100 * time.Millisecond })
	address := site.Instances[0].Addresses().Caller
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "GET /v1/models HTTP/1.1\r\nHost: a.example\r\nAuthoriz")
	time.Sleep(50 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- site.Instances[0].Stop(ctx) }()
	for {
		probe, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		probe.Close()
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Fprint(conn, "ation: Bearer shop-12-key\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("answer = %v, %v; want 503", response, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
