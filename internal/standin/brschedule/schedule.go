// Package brschedule provides the order of events for simulations in virtual time.
//
// # Usage
//
//	schedule := brschedule.Schedule{}
//	schedule.Add(now.Add(time.Second), func() { served++ })
//	for at, ok := schedule.Next(); ok && at.Before(end); at, ok = schedule.Next() {
//		now = at
//		schedule.Run()
//	}
//
// A Schedule has one owner. The zero Schedule is empty.
package brschedule

import (
	"container/heap"
	"time"
)

// Schedule holds what happens later.
type Schedule struct {
	events events
}

// Add lets something happen at a time.
func (s *Schedule) Add(at time.Time, run func()) { heap.Push(&s.events, event{at: at, run: run}) }

// Next returns the time of the first event, if there is one.
func (s *Schedule) Next() (time.Time, bool) {
	if len(s.events) == 0 {
		return time.Time{}, false
	}
	return s.events[0].at, true
}

// Run lets the first event happen. There has to be one.
func (s *Schedule) Run() { heap.Pop(&s.events).(event).run() }

// RunUntil lets all events up to a time happen, also those that they add.
func (s *Schedule) RunUntil(end time.Time) {
	for at, ok := s.Next(); ok && !at.After(end); at, ok = s.Next() {
		s.Run()
	}
}

type event struct {
	at  time.Time
	run func()
}

// events implement heap.Interface.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
