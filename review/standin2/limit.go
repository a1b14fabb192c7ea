package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// configApply is config_apply_ms of the small deployments, contact contact_ms.
	configApply = 2500 * time.Millisecond
	contact     = 4 * time.Second
	// smallHeader and largeHeader are max_header_bytes before and after the change.
	smallHeader, largeHeader = 4096, 16384
	// longHeader is the size of a header that only the later configuration allows.
	longHeader = 14000
)

// work is how long a request takes at an engine of the plain service.
const work = 60 * time.Millisecond

// simpleAnswer answers when the work is done.
func simpleAnswer(id string) func(net.Conn, *http.Request, []byte) bool {
	return func(conn net.Conn, r *http.Request, _ []byte) bool {
		time.Sleep(work)
		_, err := conn.Write([]byte(plain("200 OK", r.Header.Get("Request-Id"), "sig-"+id, "done")))
		return err == nil
	}
}

// playLimit raises max_header_bytes while clients use their connections. A second later than config_apply_ms after
// the acknowledgement and later, clients send requests whose header the new configuration allows.
func playLimit(s *Site, trouble bool) (bool, error) {
	first := largeHeader
	if trouble {
		first = smallHeader
	}
	order := plainRoute("orders", "/order/", "non_idempotent", "order-desk", 1000)
	s.store.PutJSON("keyed.op", "config", configuration(3, first, order))
	for n, zone := range []string{"amman-a", "irbid-a", "aqaba-a"} {
		id := fmt.Sprintf("i-%d", n+1)
		if _, err := s.engine(id, "order-desk", zone, simpleAnswer(id)); err != nil {
			return false, err
		}
	}
	if err := s.start("amman-a", "irbid-a", "aqaba-a"); err != nil {
		return false, err
	}
	time.Sleep(contact)
	var callers []*caller
	for _, i := range s.instances {
		for range 4 {
			c, err := dial(s.log, i.caller)
			if err != nil {
				return false, err
			}
			callers = append(callers, c)
		}
	}
	sent := 0
	order1 := func(c *caller, id string, padding int) int {
		sent++
		headers := []string{"Order-Note: " + strings.Repeat("x", padding)}
		response, _, err := c.send(http.MethodPost, "/order/new", id, headers, "pens", 2*time.Second)
		switch {
		case response == nil:
			s.log.Add("no answer", id, err)
			return 0
		default:
			return response.StatusCode
		}
	}
	round := func(name string) error {
		for n, c := range callers {
			if status := order1(c, fmt.Sprintf("%s-%d", name, n), 100); status != http.StatusOK {
				return fmt.Errorf("a request with a short header got %d", status)
			}
		}
		return nil
	}
	if err := round("before"); err != nil {
		return false, err
	}
	if trouble {
		s.store.PutJSON("keyed.op", "config", configuration(9, largeHeader, order))
		s.log.Add("configuration 9 acknowledged")
	}
	for n := range int((configApply + contact) / time.Second) {
		time.Sleep(time.Second)
		if err := round(fmt.Sprintf("kept%d", n)); err != nil {
			return false, err
		}
	}
	denied := 0
	for n, c := range callers {
		if status := order1(c, fmt.Sprintf("long-%d", n), longHeader); status >= 300 && status < 500 {
			denied++
		}
	}
	for n, i := range s.instances {
		c, err := dial(s.log, i.caller)
		if err != nil {
			return false, err
		}
		s.log.Add("a new connection, the same header", i.name, "status", order1(c, fmt.Sprintf("new-%d", n), longHeader))
	}
	s.log.Add("denied", denied, "of", sent, "requests; allowed", 5+sent/500)
	return denied > 5+sent/500, nil
}
