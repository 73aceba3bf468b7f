package main

import (
	"errors"
	"fmt"
	"time"
)

// replacements is how often every worker is replaced by hand before the upgrade.
const replacements = 8

// banDuringUpgrade has operators replace all workers several times, each being left out by hand first. Then a new version is started, and
// one more worker is left out at the old process while both run.
func banDuringUpgrade(s *setup) (violations []string, err error) {
	d, err := newDeployment(s)
	defer d.close()
	if err != nil {
		return nil, err
	}
	old, err := d.gateway.start()
	if err != nil {
		return nil, err
	}
	for range replacements {
		if err := replaceWorkers(s, d, old); err != nil {
			return nil, err
		}
	}
	s.record.printf("operators have replaced all %d workers %d times, each left out by hand before it went", workerCount, replacements)
	time.Sleep(coldFor + time.Second) // the workers are warm then
	clients := startLoad(s.record, d.gateway.addr)
	time.Sleep(4 * time.Second)
	target, recent := busiest(d.workers[len(d.workers)-workerCount:], time.Now().Add(-2*time.Second))
	if recent == 0 {
		return nil, errors.New("no worker is in use")
	}
	if s.trouble {
		next, err := d.gateway.start()
		if err != nil {
			return nil, err
		}
		s.record.printf("%s is ready", next.name)
	}
	if err := old.disable(target); err != nil {
		return nil, err
	}
	said := time.Now()
	s.record.printf("%s is asked to leave out %s, which got %d calls in the last 2 s, and says SUCCESS", old.name, target.id, recent)
	if s.trouble {
		time.Sleep(200 * time.Millisecond)
		s.record.printf("%s gets SIGTERM", old.name)
		old.terminate()
	}
	time.Sleep(8 * time.Second)
	s.record.printf("calls of clients: %v", clients.end())
	limit := drainGrace + 2*limitSlack // of the rule on drains, and of when the call counts
	if late := target.since(said.Add(limit)); len(late) > 0 {
		violations = append(violations, fmt.Sprintf("%s got %d calls and orders later than %v after the gateway had said yes to leaving it out: "+
			"the first %.2f s after, the last %.2f s after", target.id, len(late), limit, late[0].at.Sub(said).Seconds(),
			late[len(late)-1].at.Sub(said).Seconds()))
	}
	return violations, nil
}

// replaceWorkers has operators leave out every worker of the present list, end it and start another one in its place.
func replaceWorkers(s *setup, d *deployment, p *process) error {
	for n, w := range d.workers[len(d.workers)-workerCount:] {
		if err := d.addWorker(s, n); err != nil {
			return err
		}
		d.bulletin.publish(d.workers[len(d.workers)-1], active, time.Now())
		if err := p.disable(w); err != nil {
			return err
		}
		d.bulletin.publish(w, leaving, time.Time{})
		w.stop()
		d.bulletin.publish(w, left, time.Time{})
	}
	return nil
}

// busiest returns the worker that has got the most calls since a time, and how many.
func busiest(workers []*worker, since time.Time) (best *worker, most int) {
	for _, w := range workers {
		if n := len(w.since(since)); best == nil || n > most {
			best, most = w, n
		}
	}
	return best, most
}
