package lab

import (
	"sync"
	"time"
)

// store is the stub of the model store. The more loads run concurrently, the longer each takes.
type store struct {
	lab        *Lab
	mu         sync.Mutex
	loads      int  // in progress
	overloaded bool // from when loads exceeded Options.StoreLimit until they fell to half of it
}

// fetch blocks for the duration of one load, which is three times as long while more than Options.StoreLimit are in progress.
func (s *store) fetch() {
	s.mu.Lock()
	s.loads++
	wait := s.lab.LoadTime * time.Duration(3+s.loads) / 4
	if limit := s.lab.StoreLimit; limit > 0 && s.loads > limit { // the store is overloaded
		if wait *= 3; !s.overloaded {
			s.overloaded = true
			s.lab.count(func(c *Counts) { c.StoreOverloads++ })
		}
	} else if s.loads <= limit/2 {
		s.overloaded = false
	}
	s.mu.Unlock()
	time.Sleep(wait) // the stub's work
	s.mu.Lock()
	s.loads--
	s.mu.Unlock()
}
