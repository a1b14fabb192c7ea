package main

import (
	"context"
	"fmt"
	"time"
)

const (
	configApplyTime = 2500 * time.Millisecond
	contactTime     = 4 * time.Second
	// cutTime is how long one instance is cut off from the store, restTime the time from the end
	// of a cut to the next one, and configDelay that from the begin of a cut to a new version.
	cutTime     = 5500 * time.Millisecond
	restTime    = 5 * time.Second
	configDelay = 100 * time.Millisecond
	cuts        = 9
)

// version is a version of the configuration and when the store acknowledged it.
type version struct {
	number  int
	service string
	at      time.Time
}

// span is the time in which an instance is cut off.
type span struct {
	from, to time.Time
}

// configBehindCutReader cuts the instance that read the store's list of engines last off from the
// store, several times, and changes the configuration meanwhile. It fails if another instance
// handles a request as only an older version allows later than configApplyTime after the
// acknowledgement.
func configBehindCutReader(s *site, trouble bool) (string, error) {
	services := []string{"order-desk", "order-desk-b"}
	for _, service := range services {
		e := &engine{id: "i-" + randomID(), service: service, zone: s.zones[0], record: s.record, store: s.store}
		if err := e.start(0); err != nil {
			return "", err
		}
		defer e.shutdown()
	}
	versions := []version{{1, services[0], s.configure(1, services[0])}}
	if err := s.startInstances(); err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := s.load(ctx, 50*time.Millisecond)
	cut := make(map[int][]span)
	for n := range cuts {
		// The cuts begin at different moments of the instances' own rhythm.
		time.Sleep(restTime + time.Duration(n)*300*time.Millisecond%time.Second)
		reader := s.instances[s.store.lastReader()-1]
		began := time.Now()
		if trouble {
			reader.store.setCut(true)
			s.record.line("instance %s is cut off from the store", reader.name)
		}
		time.Sleep(configDelay)
		service := services[(n+1)%len(services)]
		versions = append(versions, version{n + 2, service, s.configure(n+2, service)})
		time.Sleep(cutTime - configDelay)
		if trouble {
			reader.store.setCut(false)
			s.record.line("instance %s reaches the store again", reader.name)
			cut[reader.number] = append(cut[reader.number], span{began, time.Now()})
		}
	}
	cancel()
	<-done
	runs, checked, late, worst := s.record.allRuns(), 0, 0, time.Duration(0)
	for _, c := range s.clients {
		for _, q := range c.all {
			if !inTouch(cut[q.instance], q.at) {
				continue
			}
			allowed, since := allowedServices(versions, q.at)
			for _, r := range runs[q.id] {
				if checked++; !allowed[r.service] {
					late++
					worst = max(worst, q.at.Sub(since))
					s.record.line("request %s, sent %.3f to instance %d, ran at %s, which only an older version allows", q.id, s.record.since(q.at), q.instance, r.service)
				}
			}
		}
	}
	if checked == 0 {
		return "", fmt.Errorf("no request ran")
	}
	if late > 0 {
		return fmt.Sprintf("%d of %d requests to instances in touch ran as only an older version allows, the latest sent %s after the acknowledgement",
			late, checked, worst.Round(time.Millisecond)), nil
	}
	return "", nil
}

// inTouch reports whether an instance has not been cut off at a moment or in contactTime before it.
func inTouch(spans []span, at time.Time) bool {
	for _, s := range spans {
		if at.After(s.from) && at.Before(s.to.Add(contactTime)) {
			return false
		}
	}
	return true
}

// allowedServices returns the services to which a request may go that is sent at a moment, and when
// the version was acknowledged that has to be in force then.
func allowedServices(versions []version, at time.Time) (map[string]bool, time.Time) {
	allowed, since := make(map[string]bool), time.Time{}
	for _, v := range versions {
		if at.Sub(v.at) > configApplyTime {
			clear(allowed)
			since = v.at
		}
		if v.at.Before(at.Add(clientTimeout)) {
			allowed[v.service] = true
		}
	}
	return allowed, since
}
