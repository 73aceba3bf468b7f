package handover

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"quillrail/decide"
	"quillrail/internal/roster"
)

var testIdentity = Identity{Name: "n3", Listen: "127.0.0.1:4100"}

func testState(n int) State {
	s := State{Version: stateVersion, Identity: testIdentity}
	for i := range n {
		s.Roster.Bans = append(s.Roster.Bans, roster.Ban{ID: fmt.Sprint("s-", i), Since: 5})
		s.Roster.Cold = append(s.Roster.Cold, roster.ColdWorker{ID: fmt.Sprint("s-", i), Listed: 1, Since: 7})
	}
	return s
}

// A saved state is read back unchanged. A file that is truncated, invalid or of another gateway is not used and gives an error, no panic.
func TestStateFileIsReadBackOrRejected(t *testing.T) {
	dir := t.TempDir()
	if _, err := Load(dir, testIdentity); !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("Load without a file: error %v, want ErrNoPredecessor", err)
	}
	want := testState(3)
	if err := Save(dir, want); err != nil {
		t.Fatal(err)
	}
	if got, err := Load(dir, testIdentity); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("Load returned %+v, %v, want %+v", got, err, want)
	}
	if files, _ := filepath.Glob(filepath.Join(dir, "*")); len(files) != 1 {
		t.Errorf("files in the folder after Save: %v, want one", files)
	}
	whole, err := os.ReadFile(statePath(dir))
	if err != nil {
		t.Fatal(err)
	}
	bad := map[string]string{
		"of another gateway": strings.Replace(string(whole), `"n3"`, `"n4"`, 1),
		"of another address": strings.Replace(string(whole), "4100", "4101", 1),
		"of another version": strings.Replace(string(whole), `"version":1`, `"version":2`, 1),
		"with unknown parts": strings.Replace(string(whole), `"version":1`, `"version":1,"more":2`, 1),
		"twice":              string(whole) + string(whole),
		"with a bad id":      strings.Replace(string(whole), `"s-0"`, `""`, 1),
		"with a bad start":   strings.Replace(string(whole), `"since_ns":5`, `"since_ns":-5`, 1),
		"too large":          string(whole) + strings.Repeat(" ", maxStateBytes),
		"empty":              "",
	}
	for i := range len(whole) { // truncated at any byte
		bad[fmt.Sprint("of ", i, " bytes")] = string(whole[:i])
	}
	for name, text := range bad {
		if err := os.WriteFile(statePath(dir), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := Load(dir, testIdentity); err == nil || errors.Is(err, ErrNoPredecessor) {
			t.Errorf("Load of a state %s returned %+v, error %v", name, got, err)
		}
	}
	if err := Save(filepath.Join(dir, "none"), want); err == nil {
		t.Error("Save into a folder that does not exist returned no error")
	}
}

// After many calls of Save in a row, which do not wait for the writes, the file holds the newest state.
func TestSaverKeepsNewestState(t *testing.T) {
	dir := t.TempDir()
	s := NewSaver(dir, func(err error) { t.Error(err) })
	for i := range 200 {
		s.Save(testState(i))
	}
	s.Close()
	if got, err := Load(dir, testIdentity); err != nil || len(got.Roster.Bans) != 199 {
		t.Errorf("the file holds %d bans, want 199; error %v", len(got.Roster.Bans), err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":1,"name":"n3","listen":"127.0.0.1:4100","roster":{"bans":[{"id":"a","since_ns":1}],"cold":null}}`))
	f.Add([]byte(`{"version":1`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := decode(b, testIdentity); err == nil && (s.Identity != testIdentity || s.Version != stateVersion || s.Roster.Check() != nil) {
			t.Errorf("decode accepted %q", b)
		}
	})
}

// handlerStub is the Handler of one of the two processes. It passes the events that it receives to channels.
type handlerStub struct {
	listener   net.Listener
	state      State
	offerErr   error
	successors chan *Peer
	events     chan string
}

func newHandlerStub(listener net.Listener) *handlerStub {
	return &handlerStub{listener: listener, state: testState(2), successors: make(chan *Peer, 9), events: make(chan string, 999)}
}

func (s *handlerStub) Ban(b roster.Ban)                    { s.events <- "ban " + b.ID }
func (s *handlerStub) Unban(id string)                     { s.events <- "call back " + id }
func (s *handlerStub) PeerReady(*Peer, string)             { s.events <- "ready" }
func (s *handlerStub) PeerGone(*Peer)                      { s.events <- "gone" }
func (s *handlerStub) Offer() (net.Listener, State, error) { return s.listener, s.state, s.offerErr }
func (s *handlerStub) HandedOver(p *Peer)                  { s.successors <- p }

func wantEvents(t *testing.T, s *handlerStub, events ...string) {
	t.Helper()
	for _, w := range events {
		if got := <-s.events; got != w {
			t.Errorf("received event %q, want %q", got, w)
		}
	}
}

// The listening socket is passed with its queue of connections: a client that connected before the old process closed its
// descriptor is accepted by the new one. Bans are sent both ways, and each process notices when the other one ends.
func TestHandoverPassesSocketStateAndBans(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("a-long-name-", 15)) // longer than the address of a Unix socket may be
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := TakeOver(dir, testIdentity); !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("TakeOver without a server: error %v, want ErrNoPredecessor", err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	old, next := newHandlerStub(ln), newHandlerStub(nil)
	server, err := Listen(dir, testIdentity, old)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := TakeOver(dir, Identity{Name: "n4", Listen: testIdentity.Listen}); err == nil || errors.Is(err, ErrNoPredecessor) {
		t.Errorf("TakeOver by another gateway: error %v, want a refusal", err)
	}
	old.offerErr = errors.New("the process is ending")
	if _, _, _, err := TakeOver(dir, testIdentity); err == nil || !strings.Contains(err.Error(), "ending") {
		t.Errorf("TakeOver from an ending process: error %v, want its reason", err)
	}
	old.offerErr = nil
	old.state.Module = &decide.Snapshot{Functions: []decide.FunctionSnapshot{{Name: strings.Repeat("x", maxStateBytes)}}} // too large to be sent
	linkToOld, inherited, received, err := TakeOver(dir, testIdentity)
	if err != nil || received.Module != nil || !reflect.DeepEqual(received.Roster, old.state.Roster) {
		t.Fatal(received, err)
	}
	defer inherited.Close()
	linkToNew := <-old.successors
	linkToOld.Start(next)
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	ln.Close()
	conn, err := inherited.Accept()
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "x")
	conn.Close()
	if n, err := client.Read(make([]byte, 1)); n != 1 {
		t.Errorf("the client got %d bytes: %v", n, err)
	}
	linkToOld.Ready("")
	linkToOld.Ban(roster.Ban{ID: "a"})
	linkToOld.Unban("a")
	wantEvents(t, old, "ready", "ban a", "call back a")
	linkToNew.Ban(roster.Ban{ID: "b"})
	linkToNew.Unban("b")
	wantEvents(t, next, "ban b", "call back b")

	newServer, err := Listen(dir, testIdentity, next) // the new process replaces the server of the old one
	if err != nil {
		t.Fatal(err)
	}
	server.Close()
	next.listener = inherited
	thirdLink, thirdListener, _, err := TakeOver(dir, testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	thirdListener.Close()
	thirdLink.Close()
	linkToOld.Close()
	wantEvents(t, old, "gone")
	wantEvents(t, next, "gone", "gone") // the link to the third process and the one to the old process
	newServer.Close()
	if _, _, _, err := TakeOver(dir, testIdentity); !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("TakeOver with a socket file that nobody listens on: error %v, want ErrNoPredecessor", err)
	}
}

// Invalid bytes, sent instead of a hello message or after it, cause no panic, and a valid successor is served afterwards.
func TestServerSurvivesInvalidMessages(t *testing.T) {
	dir := t.TempDir()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	old := newHandlerStub(ln)
	server, err := Listen(dir, testIdentity, old)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 60 {
		c, err := net.Dial("unix", filepath.Join(dir, socketName))
		if err != nil {
			t.Fatal(err)
		}
		junk := make([]byte, rng.IntN(40))
		for j := range junk {
			junk[j] = byte(rng.IntN(256))
		}
		switch i % 4 {
		case 0:
			junk = append([]byte{0, 0, 0, byte(len(junk))}, junk...)
		case 1:
			junk = []byte("\x00\x00\x00\x12{\"kind\":\"hello\"}\n\n")
		case 2: // a valid hello message, then junk on the established link
			b, _ := encodeFrame(message{Kind: "hello", Identity: &testIdentity})
			junk = append(b, junk...)
		}
		c.Write(junk)
		c.Close()
	}
	p, got, _, err := TakeOver(dir, testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	got.Close()
	p.Close()
}
