package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The times of the case, in seconds from its start, and the figures of the deployment.
const (
	rolloutTraffic  = 4 * time.Second  // the first request
	rolloutOrder    = 8 * time.Second  // the rollout is ordered
	rolloutDuration = 16               // seconds
	rolloutKill     = 12 * time.Second // all processes are killed, 4 s after the order
	rolloutPause    = 500 * time.Millisecond
	rolloutEnd      = 50 * time.Second
	rolloutInterval = 33 * time.Millisecond // between requests, about 30 a second
	rolloutWork     = 840 * time.Millisecond
	rolloutSpread   = 0.15
	// rolloutBound is rollback_s, and rolloutBad the number of bad answers after which it counts.
	rolloutBound = 5 * time.Second
	rolloutBad   = 50
	// rolloutDrain is when the servers of a version that was rolled back begin to drain.
	rolloutDrain = 2 * time.Second
	// rolloutLoad is the number of requests at the new version from which half of them fail.
	rolloutLoad = 5
)

// rollout shows what becomes of a version that is bad under load when all processes are killed
// early in its rollout.
func rollout(d *deployment, rec *record, trouble bool) (bool, error) {
	mutex, runs := sync.Mutex{}, []run{}
	running, sent := atomic.Int64{}, sync.Map{}
	duration := func(*http.Request) time.Duration {
		return time.Duration((1 + rolloutSpread*rand.NormFloat64()) * float64(rolloutWork))
	}
	note := func(r run) {
		mutex.Lock()
		defer mutex.Unlock()
		runs = append(runs, r)
		rec.line("run %s version=%s server=%s failed=%v", r.id, r.version, r.server, r.failed)
	}
	fails := func() bool { return running.Load() >= rolloutLoad && rand.IntN(2) == 0 }
	routes := []route{{name: "r-e9itfrz", prefix: "/xapu221/ny95/", service: serviceOld, timeout: 4}}
	d.store.put("op", "config", configuration(1, routes, []tenant{{"yefi830", []string{keyFirst}}}))
	old, err := d.addVersion(serviceOld, "v1", 12, 3, duration, note, nil, nil)
	if err != nil {
		return false, err
	}
	if err := d.addMachines(3, 2); err != nil {
		return false, err
	}
	if err := d.waitReady(8 * time.Second); err != nil {
		return false, err
	}
	rec.say("%d machines are ready", len(d.machines))
	group, stop, c, next := sync.WaitGroup{}, make(chan struct{}), newCaller(), atomic.Int64{}
	group.Go(func() {
		sleepUntil(rec.start.Add(rolloutTraffic))
		every(rolloutInterval, stop, &group, func() {
			m := d.machines[int(next.Add(1))%len(d.machines)]
			at := time.Now()
			res := c.send(m, http.MethodPost, "/xapu221/ny95/2f", keyFirst, 4*time.Second)
			sent.Store(res.id, at)
			rec.line("sent %s at=%.3f machine=%s status=%d", res.id, at.Sub(rec.start).Seconds(), res.machine, res.status)
		})
	})
	sleepUntil(rec.start.Add(rolloutOrder))
	fresh, err := d.addVersion(serviceOld, "v2", 12, 3, duration, note, fails, &running)
	if err != nil {
		return false, err
	}
	d.store.put("op", "rollout/"+serviceOld, fmt.Sprintf(`{"service":%q,"target":"v2","duration_s":%d}`, serviceOld, rolloutDuration))
	rec.say("the rollout of v2 is ordered")
	group.Go(func() { d.followRollout(rec, old, fresh, stop) })
	if trouble {
		sleepUntil(rec.start.Add(rolloutKill))
		if err := d.killAll(rolloutPause); err != nil {
			return false, err
		}
		rec.say("all processes were killed and started again")
	}
	sleepUntil(rec.start.Add(rolloutEnd))
	close(stop)
	group.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	return rolloutVerdict(rec, runs, &sent), nil
}

// killAll kills all processes at the same moment and starts them again after a pause.
func (d *deployment) killAll(pause time.Duration) error {
	for _, m := range d.machines {
		if err := m.command.Process.Signal(syscall.SIGKILL); err != nil {
			return fmt.Errorf("kill %s: %w", m.name, err)
		}
	}
	for _, m := range d.machines {
		_ = m.command.Wait()
		_ = m.log.Close()
	}
	time.Sleep(pause)
	for _, m := range d.machines {
		if err := d.start(m); err != nil {
			return err
		}
	}
	return nil
}

// followRollout does what the platform does when the system has written the state of a rollout.
func (d *deployment) followRollout(rec *record, old, fresh []*server, stop <-chan struct{}) {
	for state := ""; ; time.Sleep(20 * time.Millisecond) {
		select {
		case <-stop:
			return
		default:
		}
		now := d.store.get("status", "rollout/"+serviceOld)
		if now == state {
			continue
		}
		state = now
		rec.say("status/rollout: %s", state)
		switch {
		case strings.Contains(state, "succeeded"):
			for _, s := range old {
				s.close()
				d.store.remove("servers", s.id)
			}
			return
		case strings.Contains(state, "rolled_back"):
			time.Sleep(rolloutDrain)
			for _, s := range fresh {
				s.draining.Store(true)
				d.store.put("servers", s.id, s.entry())
			}
			return
		}
	}
}

// rolloutVerdict checks the rule EXPOSURE and reports whether the version got a request that was
// sent later than rollback_s after its 50th bad answer.
func rolloutVerdict(rec *record, runs []run, sent *sync.Map) bool {
	bad, late, arrivals := 0, 0, 0
	bound := time.Time{}
	for _, r := range runs { // in the order in which they ended
		if r.version != "v2" {
			continue
		}
		arrivals++
		if r.failed {
			bad++
		}
		if bad == rolloutBad && bound.IsZero() {
			bound = r.ended.Add(rolloutBound)
		}
		if at, known := sent.Load(r.id); known && !bound.IsZero() && at.(time.Time).After(bound) {
			late++
		}
	}
	rec.say("v2 got %d requests and answered %d badly; sent later than rollback_s after its 50th bad answer: %d", arrivals, bad, late)
	return late > 0
}
