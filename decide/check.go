package decide

import "fmt"

// check returns an error for the first setting with which a router can't work.
func (s *Settings) check(gw Gateway) error {
	if gw == nil || len(s.Classes) == 0 || s.MaxAttempts < 1 || s.ColdFrom < 0 || s.ColdFrom > 1 {
		return fmt.Errorf("decide: need a gateway, Classes, MaxAttempts >= 1 and 0 <= ColdFrom <= 1; "+
			"have gateway %v, Classes %d, MaxAttempts %d, ColdFrom %v",
			gw != nil, len(s.Classes), s.MaxAttempts, s.ColdFrom)
	}
	if d := min(s.KeepAlive, s.DrainGrace, s.ColdFor, s.CollapseAfter, s.OrderWindow, s.SendDelay); d < 0 {
		return fmt.Errorf("decide: KeepAlive, DrainGrace, ColdFor, CollapseAfter, OrderWindow or SendDelay is negative: %v", d)
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 {
			return fmt.Errorf("decide: Deadline of class %d must be positive, have %v", i, c.Deadline)
		}
	}
	return nil
}
