package lifecycle

import (
	"quillrail/internal/lifecycle/handover"
	"quillrail/internal/roster"
)

// sendBan notifies the other process that an operator has banned a worker here, or lifted its ban, and saves the state.
func (u *upgrade) sendBan(id string) {
	ban, banned := u.gateway.core.Banned(id)
	for _, p := range u.peers() {
		if banned {
			p.Ban(ban)
		} else {
			p.Unban(id)
		}
	}
	u.save()
}

// sendBansSinceOffer sends a successor the bans that have been set or lifted since the roster that it was offered.
func (u *upgrade) sendBansSinceOffer(successor *handover.Peer) {
	offered := map[string]bool{}
	for _, b := range u.offeredRoster.Bans {
		if offered[b.ID] = true; !u.isBanned(b.ID) {
			successor.Unban(b.ID)
		}
	}
	for _, b := range u.gateway.core.Saved().Bans {
		if !offered[b.ID] {
			successor.Ban(b)
		}
	}
}

func (u *upgrade) isBanned(id string) bool {
	_, banned := u.gateway.core.Banned(id)
	return banned
}

// Ban applies a ban that an operator has imposed at the other process.
func (u *upgrade) Ban(b roster.Ban) {
	u.gateway.loop.PostUrgent(func() {
		u.gateway.core.AdoptBan(b)
		u.save()
	})
}

// Unban lifts a ban that an operator has lifted at the other process.
func (u *upgrade) Unban(id string) {
	u.gateway.loop.PostUrgent(func() {
		if u.gateway.core.Enable(id) == nil {
			u.save()
		}
	})
}
