package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

// The times of the case, in seconds from its start.
const (
	drillRestarts     = 9300 * time.Millisecond // the first machine is restarted, as planned work
	drillRestartGap   = 500 * time.Millisecond
	drillRestartPause = 500 * time.Millisecond   // from the end of a process to its next start
	drillSecondChange = 13 * time.Second         // version 2 is written
	drillAway         = 14 * time.Second         // the store goes away
	drillBack         = 15 * time.Second         // and comes back
	drillCopyAge      = 6 * time.Second          // from a copy of this age
	drillThirdChange  = 18500 * time.Millisecond // version 3 is written, contact_s after the drill
	drillEnd          = 50 * time.Second
	// drillBound is config_apply_s with the most that an unstable store adds (max_stretch_s).
	drillBound = 7 * time.Second
	// drillSlack keeps requests out of the verdict that were sent at the bound itself.
	drillSlack = time.Second
)

// drillRestarted is the number of machines that are restarted before the drill.
const drillRestarted = 2

const (
	serviceOld = "huvo11a"
	serviceNew = "wuno96b"
)

// Keys of the tenant. Version 2 adds the second, version 3 takes the first away, adds the third
// and moves the route to the other service.
const (
	keyFirst  = "tnfzs989anu6wsjnbanf"
	keySecond = "qasnmgkcuyj8pjbvk9m6"
	keyThird  = "w7dkq2xn5t4hzrm8c3ba"
)

// drill shows what becomes of a configuration that is written soon after the store came back
// from a copy.
func drill(d *deployment, rec *record, trouble bool) (bool, error) {
	runs := sync.Map{}
	work := func(*http.Request) time.Duration { return 50 * time.Millisecond }
	note := func(r run) {
		runs.Store(r.id, r)
		rec.line("run %s tenant=%s path=%s service=%s server=%s", r.id, r.tenant, r.path, r.service, r.server)
	}
	route := func(service string) []route {
		return []route{{name: "r-6sz9frg", prefix: "/lepu270/", service: service, safe: true, timeout: 3}}
	}
	versions := []string{
		configuration(1, route(serviceOld), []tenant{{"yefi830", []string{keyFirst}}}),
		configuration(2, route(serviceOld), []tenant{{"yefi830", []string{keyFirst, keySecond}}}),
		configuration(3, route(serviceNew), []tenant{{"yefi830", []string{keySecond, keyThird}}}),
	}
	stop := make(chan struct{})
	group := sync.WaitGroup{}
	go d.store.keepCopies(250*time.Millisecond, stop)
	d.store.put("op", "config", versions[0])
	for _, service := range []string{serviceOld, serviceNew} {
		if err := d.addServers(service, 12, 3, work, note); err != nil {
			return false, err
		}
	}
	if err := d.addMachines(3, 2); err != nil {
		return false, err
	}
	if err := d.waitReady(8 * time.Second); err != nil {
		return false, err
	}
	rec.say("%d machines are ready", len(d.machines))
	results := make(chan result, 1<<16)
	c := newCaller()
	for _, m := range d.machines {
		for _, key := range []string{keyFirst, keySecond, keyThird} {
			group.Go(func() {
				every(500*time.Millisecond, stop, &group, func() {
					res := c.send(m, http.MethodGet, "/lepu270/2f", key, 3*time.Second)
					rec.line("sent %s machine=%s key=%s status=%d", res.id, res.machine, res.key, res.status)
					results <- res
				})
			})
		}
	}
	restarts := sync.WaitGroup{}
	for i, m := range d.machines[len(d.machines)-drillRestarted:] {
		restarts.Go(func() {
			sleepUntil(rec.start.Add(drillRestarts + time.Duration(i)*drillRestartGap))
			rec.say("machine %s is stopped with SIGTERM", m.name)
			if err := d.restart(m, drillRestartPause); err != nil {
				rec.say("%v", err)
				return
			}
			rec.say("machine %s is started again", m.name)
		})
	}
	sleepUntil(rec.start.Add(drillSecondChange))
	rec.say("version 2 acknowledged as row_version %d", d.store.put("op", "config", versions[1]))
	if trouble {
		sleepUntil(rec.start.Add(drillAway))
		d.store.leave()
		rec.say("the store is away")
		sleepUntil(rec.start.Add(drillBack))
		age, lost, restored := d.store.comeBack(drillCopyAge)
		if age == 0 {
			return false, errors.New("the store has no copy of that age")
		}
		rec.say("the store is back from a copy %.2f s old: row_version %d -> %d", age.Seconds(), lost, restored)
		rec.say("version 2 written again as row_version %d", d.store.put("op", "config", versions[1]))
	}
	sleepUntil(rec.start.Add(drillThirdChange))
	rec.say("version 3 acknowledged as row_version %d", d.store.put("op", "config", versions[2]))
	from := time.Now().Add(drillBound + drillSlack)
	sleepUntil(rec.start.Add(drillEnd))
	close(stop)
	restarts.Wait()
	group.Wait()
	close(results)
	reads, gone, refused := d.store.counts()
	rec.say("store: calls %v, %d answers 410, %d calls beyond the rates", reads, gone, refused)
	return drillVerdict(rec, results, &runs, from), nil
}

// drillVerdict checks the rule CONFIG for the requests sent after a time: a withdrawn key is
// refused, keys that are there are not, and the route leads to the new service. It reports
// whether the rule was broken.
func drillVerdict(rec *record, results <-chan result, runs *sync.Map, from time.Time) bool {
	judged, withdrawn, denied, oldService := 0, 0, 0, 0
	byMachine := map[string]int{}
	for res := range results {
		if res.sent.Before(from) {
			continue
		}
		judged++
		value, ran := runs.Load(res.id)
		wrong := true
		switch {
		case res.key == keyFirst && ran:
			withdrawn++
		case res.key != keyFirst && res.status == http.StatusUnauthorized:
			denied++
		case ran && value.(run).service == serviceOld:
			oldService++
		default:
			wrong = false
		}
		if wrong {
			byMachine[res.machine]++
		}
	}
	rec.say("judged %d requests sent later than config_apply_s + max_stretch_s after the acknowledgement of version 3", judged)
	rec.say("run with the withdrawn key: %d; refused with 401 though the key is there: %d; run by the old service: %d; by machine: %v", withdrawn, denied, oldService, byMachine)
	return withdrawn+denied+oldService > 0
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// describe returns the verdict as a line.
func describe(broken bool) string {
	if broken {
		return "the rule was broken"
	}
	return "the rule held"
}
