package lab

import (
	"sync"
	"time"
)

// store is what workers fetch models from: the more at once, the longer each takes.
type store struct {
	lab  *Lab
	mu   sync.Mutex
	now  int
	over bool // it has been pushed over, and is not well again yet
}

// fetch blocks for as long as a load takes now.
func (s *store) fetch() {
	s.mu.Lock()
	s.now++
	wait := s.lab.Load * time.Duration(3+s.now) / 4
	if at := s.lab.StoreAt; at > 0 && s.now > at { // it thrashes
		if wait *= 3; !s.over {
			s.over = true
			s.lab.count(func(c *Counts) { c.Pushed++ })
		}
	} else if s.now <= at/2 {
		s.over = false
	}
	s.mu.Unlock()
	time.Sleep(wait) // the stand-in's work is to take time
	s.mu.Lock()
	s.now--
	s.mu.Unlock()
}
