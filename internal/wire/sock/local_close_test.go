package sock

import (
	"io"
	"net"
	"testing"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// recorder is a Handler of accepted connections that records the first byte of each Data call, and the end.
type recorder struct {
	conn  Conn
	got   chan<- byte
	ended chan<- error
}

func (r *recorder) Data(b []byte) error {
	r.got <- b[0]
	return nil
}

func (r *recorder) Closed(err error) { r.ended <- err }

// A request that arrives while the server closes the idle connection must not be delivered. The kernel still returns its bytes after the
// shutdown; when the gateway took such a request, it sent the call to a worker although no answer could be returned, and the client sent
// the request a second time. This was seen in scenarios with overload and short deadlines, in one run of two.
//
// The poller is blocked between the check for new data and the shutdown until the request has arrived.
func TestNoDataDeliveredAfterLocalClose(t *testing.T) {
	got, ended, accepted := make(chan byte, 8), make(chan error, 8), make(chan Conn, 2)
	n, err := Listen("127.0.0.1:0", Limits{Descriptors: 64, Accepted: 64}, func(c Conn) Handler {
		accepted <- c
		return &recorder{c, got, ended}
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	for name, closeConn := range map[string]func(Conn){
		"CloseIfNoNewData": func(c Conn) { c.CloseIfNoNewData(0) },
		"Close":            func(c Conn) { c.Close() },
	} {
		client, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		server := <-accepted
		n.queue.testBeforeShutdown = func() {
			client.Write([]byte{7})
			for waiting := 0; waiting == 0; {
				waiting, _ = unix.IoctlGetInt(server.(*conn).Hash(), unix.TIOCINQ)
			}
		}
		closeConn(server)
		if _, err := client.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%s: the client's connection ended with %v, want EOF", name, err)
		}
		<-ended
		select {
		case <-got:
			t.Errorf("%s: data was delivered after the connection was closed", name)
		default:
		}
	}
}
