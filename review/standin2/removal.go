package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drain is drain_ms of the small deployments.
	drain = 2500 * time.Millisecond
	// serveOn is how long an engine serves after its entry has been removed: drain_ms and some seconds more.
	serveOn = 6500 * time.Millisecond
	// requestPause is the time between two requests of a client, clientsEach the number of clients of an instance.
	requestPause = 60 * time.Millisecond
	clientsEach  = 2
)

// arrival is a request that an engine began to work on.
type arrival struct {
	id string
	at time.Time
}

// arrivals collects what reaches one engine.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) answer(engine string) func(net.Conn, *http.Request, []byte) bool {
	reply := simpleAnswer(engine)
	return func(conn net.Conn, r *http.Request, body []byte) bool {
		a.mu.Lock()
		a.list = append(a.list, arrival{r.Header.Get("Request-Id"), time.Now()})
		a.mu.Unlock()
		return reply(conn, r, body)
	}
}

// playRemoval cuts one machine after the other off from the store. Right after each cut an engine is removed from the
// registry without having reported draining; it serves on.
func playRemoval(s *Site, trouble bool) (bool, error) {
	stock := plainRoute("stock", "/stock/", "idempotent", "order-desk", 1000)
	s.store.PutJSON("keyed.op", "config", configuration(3, 16384, stock))
	for _, id := range []string{"i-1", "i-2"} {
		if _, err := s.engine(id, "order-desk", "amman-a", simpleAnswer(id)); err != nil {
			return false, err
		}
	}
	if err := s.startBehindProxies("amman-a", "irbid-a", "aqaba-a"); err != nil {
		return false, err
	}
	time.Sleep(contact)
	var stopped atomic.Bool
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stopped.Store(true)
	for _, i := range s.instances {
		for n := range clientsEach {
			clients.Add(1)
			go func() {
				defer clients.Done()
				s.ask(i, n, &stopped)
			}()
		}
	}
	broken := false
	for n, cut := range []time.Duration{3900, 3600, 4200, 3900, 5000, 3600, 3900} {
		late, err := s.removeAfterCut(n, cut*time.Millisecond, trouble)
		if err != nil {
			return false, err
		}
		broken = broken || late
	}
	return broken, nil
}

// ask sends requests to an instance until it is told to stop.
func (s *Site) ask(i *Instance, client int, stopped *atomic.Bool) {
	quiet := &Log{}
	var c *caller
	for n := 0; !stopped.Load(); n++ {
		if c == nil {
			var err error
			if c, err = dial(quiet, i.caller); err != nil {
				time.Sleep(requestPause)
				continue
			}
		}
		response, _, err := c.send(http.MethodGet, "/stock/7", fmt.Sprintf("%s.%d.%d", i.name, client, n), nil, "", 2*time.Second)
		if err != nil || response.Close {
			_ = c.conn.Close()
			c = nil
		}
		time.Sleep(requestPause)
	}
}

// removeAfterCut plays one cut and reports whether a request reached the removed engine too late.
func (s *Site) removeAfterCut(n int, cut time.Duration, trouble bool) (bool, error) {
	id := fmt.Sprintf("i-leaves-%d", n)
	seen := &arrivals{}
	engine, err := s.engine(id, "order-desk", "amman-a", seen.answer(id))
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	machine := n % len(s.instances)
	if trouble {
		s.proxies[machine].Cut()
		s.log.Add("cut off from the store", s.instances[machine].name, "for", cut)
	}
	time.Sleep(cut)
	s.proxies[machine].Heal()
	healed := time.Now()
	s.log.Add("healed", s.instances[machine].name)
	time.Sleep(300 * time.Millisecond)
	engine.Remove()
	removed := time.Now()
	s.log.Add("removal acknowledged", id)
	time.Sleep(serveOn)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	late := 0
	for _, a := range seen.list {
		// A machine that was cut off is in touch contact_ms after the cut.
		inTouch := !trouble || !strings.HasPrefix(a.id, s.instances[machine].name+".") || a.at.Sub(healed) > contact
		if after := a.at.Sub(removed); after > drain && inTouch {
			late++
			s.log.Add("late request", a.id, "reached", id, "after", after.Round(time.Millisecond), "and after the heal", a.at.Sub(healed).Round(time.Millisecond))
		}
	}
	s.log.Add("requests at", id, len(seen.list), "late", late)
	engine.Stop()
	return late > 0, nil
}
