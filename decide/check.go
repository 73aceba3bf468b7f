package decide

import "fmt"

// check names the first setting that no router can be made of.
func (s *Settings) check(gw Gateway) error {
	if gw == nil || len(s.Classes) == 0 || s.MaxAttempts < 1 || s.ColdFrom < 0 || s.ColdFrom > 1 {
		return fmt.Errorf("decide: impossible: gateway %v, Classes %d, MaxAttempts %d, ColdFrom %v",
			gw != nil, len(s.Classes), s.MaxAttempts, s.ColdFrom)
	}
	if d := min(s.KeepAlive, s.DrainGrace, s.ColdFor, s.FallFor, s.OrderWindow, s.SendDelay); d < 0 {
		return fmt.Errorf("decide: KeepAlive, DrainGrace, ColdFor, FallFor, OrderWindow or SendDelay is %v", d)
	}
	for i, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 {
			return fmt.Errorf("decide: class %d has no Aim or no Deadline", i)
		}
	}
	return nil
}
