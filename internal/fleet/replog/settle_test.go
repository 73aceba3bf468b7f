package replog

import (
	"fmt"
	"slices"
)

// tick advances the time of all members by one tick and delivers their messages.
func (n *network) tick() {
	for _, m := range n.members {
		m.group.Tick()
		m.pump(true)
	}
	for k := 0; len(n.inTransit) > 0 && k < 1000; k++ {
		message := n.inTransit[0]
		n.inTransit = n.inTransit[1:]
		if !n.blocked[[2]int{message.from, message.to}] {
			n.members[message.to].group.Step(message.body)
			n.members[message.to].pump(true)
		}
	}
}

// deliverAll delivers all messages, and those that they cause, in their order.
func (n *network) deliverAll() {
	for len(n.inTransit) > 0 {
		message := n.inTransit[0]
		n.inTransit = n.inTransit[1:]
		n.members[message.to].group.Step(message.body)
		n.members[message.to].pump(true)
	}
}

// settle removes all faults and runs the network until every member has applied the same entries.
func (n *network) settle() error {
	clear(n.blocked)
	for _, m := range n.members {
		if m.group == nil {
			m.start()
		}
	}
	for range 4000 {
		n.tick()
		same := true
		for _, m := range n.members {
			same = same && m.group.State() != nil && m.group.State().Index == n.members[0].group.State().Index &&
				m.group.State().Hash() == n.members[0].group.State().Hash()
		}
		if lead := slices.IndexFunc(n.members, func(m *member) bool { return m.group.LeaderReady() }); same && lead >= 0 && len(n.inTransit) == 0 {
			return nil
		}
	}
	return fmt.Errorf("the members did not reach the same state")
}
