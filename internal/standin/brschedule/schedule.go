// Package brschedule provides the event queue of simulations in virtual time.
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
// A Schedule is not safe for concurrent use. The zero Schedule is empty.
package brschedule

import (
	"container/heap"
	"time"
)

// Schedule is a queue of functions to run, ordered by time.
type Schedule struct {
	events eventHeap
}

// Add schedules a function to run at a time.
func (s *Schedule) Add(at time.Time, run func()) { heap.Push(&s.events, event{at: at, run: run}) }

// Next returns the time of the earliest event, if there is one.
func (s *Schedule) Next() (time.Time, bool) {
	if len(s.events) == 0 {
		return time.Time{}, false
	}
	return s.events[0].at, true
}

// Run removes the earliest event and runs it. It panics if the queue is empty.
func (s *Schedule) Run() { heap.Pop(&s.events).(event).run() }

// RunUntil runs all events up to and including the end, including events that they add.
func (s *Schedule) RunUntil(end time.Time) {
	for at, ok := s.Next(); ok && !at.After(end); at, ok = s.Next() {
		s.Run()
	}
}

type event struct {
	at  time.Time
	run func()
}

// eventHeap is a heap of events, ordered by time.
type eventHeap []event

// Len implements heap.Interface.
func (e eventHeap) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }

// Swap implements heap.Interface.
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
