package agreement

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/replog"
)

// lostFor is how long there has to be no majority before an agreement may be begun anew.
const lostFor = 5 * time.Second

// Rebuild begins the agreement anew with this gateway as its only voter, by the word of two operators, where a majority of
// those who voted is lost for good. What this gateway knows to be agreed stands, permits count as out, a release stands still;
// the others follow it from then on, former voters too when they come back. What was agreed and has not reached this gateway
// is lost, and nothing can find it: the gateway that knows of the newest entry is the one to ask.
func (a *Agent) Rebuild(by, and string) error {
	age, caught := a.Age()
	switch {
	case by == "" || and == "" || by == and:
		return fmt.Errorf("two different operators have to say so: by=NAME and=NAME")
	case caught && age < lostFor:
		return fmt.Errorf("there was a majority %v ago", age.Round(time.Millisecond))
	case a.host.Store() == nil:
		return fmt.Errorf("this gateway has no disk to hold a log on")
	}
	var st *replog.State
	if old := a.State(); old != nil {
		b, err := old.Encode()
		if err != nil {
			return err
		}
		if st, err = replog.Decode(b); err != nil {
			return err
		}
	} else {
		st = a.fresh()
	}
	st.Era++
	if r := st.Change.Current(); r != nil {
		st.Change.Pause(change.Context{Index: st.Index, At: st.At}, r.ID, "the agreement was begun anew")
	}
	a.forfeit()
	a.log.Warn("the agreement is begun anew, without its majority", zap.String("by", by), zap.String("and", and), zap.Uint64("era", st.Era))
	a.begin(st, []replog.Voter{{ID: a.id, Name: a.o.Name, Hall: a.o.Hall}})
	return nil
}

// tellEra tells all that an agreement of a later era has begun here.
func (a *Agent) tellEra() {
	for _, name := range a.others() {
		a.send(name, message{Kind: messageEra})
	}
}

// eraSeen follows an agreement that was begun anew, and gives up a former one.
func (a *Agent) eraSeen(from string, x message) {
	st := a.State()
	if st == nil || x.Era <= st.Era || x.Kind == messageState {
		return
	}
	if a.group != nil || a.claim != nil {
		a.log.Warn("the agreement was begun anew by others: this gateway gives its vote up", zap.String("from", from), zap.Uint64("era", x.Era))
		if a.group != nil {
			if b := a.Handed(); b != nil {
				a.copy.Replace(b)
			}
		}
		a.forfeit()
	}
	a.caught, a.from = false, from
	a.send(from, message{Kind: messageFollow})
}
