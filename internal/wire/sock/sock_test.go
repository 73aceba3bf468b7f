package sock

import "testing"

// An engine that is stopped before its acceptor has begun: nbio forgets that it was stopped, and would ask a closed
// listener again and again, with Stop waiting for the end of it. The acceptor has to end by itself.
func TestStopBeforeTheAcceptorBegins(t *testing.T) {
	ln, err := Bind("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	l := &listener{Listener: ln, over: make(chan struct{})}
	l.Close()
	returned, ended := false, make(chan struct{})
	go func() {
		defer close(ended)
		l.Accept()
		returned = true
	}()
	if <-ended; returned {
		t.Error("the acceptor goes on with a closed listener")
	}
}
