package sock

import (
	"io"
	"net"
	"testing"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// reader is the server's end of a connection that notes what it is given.
type reader struct {
	c     Conn
	got   chan<- byte
	ended chan<- error
}

func (r *reader) Data(b []byte) error {
	r.got <- b[0]
	return nil
}

func (r *reader) Closed(err error) { r.ended <- err }

// Seen on a day with crowds and short deadlines, in one play of two: a request came to an idle connection as it was closed. The kernel
// still gave it out after the connection had been shut, the gateway took it and sent it on to a worker, and its answer could reach
// nobody; its client, whose request had crossed the close, sent it once more. That the report named a request "read on a
// connection that it had just shut" proved the order of events.
//
// The poller is held between its look into the socket and the end of the connection until the request is there.
func TestNothingIsTakenFromAConnectionThatWasShut(t *testing.T) {
	got, ended, accepted := make(chan byte, 8), make(chan error, 8), make(chan Conn, 2)
	n, err := Listen("127.0.0.1:0", Limits{Descriptors: 64, Accepted: 64}, func(c Conn) Handler {
		accepted <- c
		return &reader{c, got, ended}
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	for name, order := range map[string]func(Conn){
		"if nothing more has come": func(c Conn) { c.CloseUnlessMore(0) },
		"whatever has come":        func(c Conn) { c.Close() },
	} {
		client, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		end := <-accepted
		n.reaper.checked = func() {
			client.Write([]byte{7})
			for waiting := 0; waiting == 0; {
				waiting, _ = unix.IoctlGetInt(end.(*conn).Hash(), unix.TIOCINQ)
			}
		}
		order(end)
		if _, err := client.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%s: the client's connection ended with %v", name, err)
		}
		<-ended
		select {
		case <-got:
			t.Errorf("%s: a request is taken from a connection that was shut", name)
		default:
		}
	}
}
