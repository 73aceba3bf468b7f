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

var me = Who{Name: "n3", Listen: "127.0.0.1:4100"}

func state(n int) State {
	s := State{Version: version, Who: me}
	for i := range n {
		s.Roster.Bans = append(s.Roster.Bans, roster.Ban{ID: fmt.Sprint("s-", i), Since: 5})
		s.Roster.Cold = append(s.Roster.Cold, roster.ColdWorker{ID: fmt.Sprint("s-", i), Listed: 1, Since: 7})
	}
	return s
}

// What is saved is read back; whatever else stands in the file is told as an error, never used and never a panic.
func TestFile(t *testing.T) {
	dir := t.TempDir()
	if _, err := Load(dir, me); !errors.Is(err, ErrNone) {
		t.Errorf("no file: %v", err)
	}
	want := state(3)
	if err := Save(dir, want); err != nil {
		t.Fatal(err)
	}
	if got, err := Load(dir, me); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read back %+v, %v", got, err)
	}
	if files, _ := filepath.Glob(filepath.Join(dir, "*")); len(files) != 1 {
		t.Errorf("left in the folder: %v", files)
	}
	whole, err := os.ReadFile(fileOf(dir))
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
		"too large":          string(whole) + strings.Repeat(" ", maxState),
		"empty":              "",
	}
	for i := range len(whole) { // torn at any byte
		bad[fmt.Sprint("of ", i, " bytes")] = string(whole[:i])
	}
	for name, text := range bad {
		if err := os.WriteFile(fileOf(dir), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := Load(dir, me); err == nil || errors.Is(err, ErrNone) {
			t.Errorf("a state %s is used: %+v, %v", name, got, err)
		}
	}
	if err := Save(filepath.Join(dir, "none"), want); err == nil {
		t.Error("saved into a folder that does not exist")
	}
}

// The newest state is the one that stays, and writing never makes its caller wait.
func TestSaver(t *testing.T) {
	dir := t.TempDir()
	s := NewSaver(dir, func(err error) { t.Error(err) })
	for i := range 200 {
		s.Save(state(i))
	}
	s.Close()
	if got, err := Load(dir, me); err != nil || len(got.Roster.Bans) != 199 {
		t.Errorf("%d bans, %v", len(got.Roster.Bans), err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":1,"name":"n3","listen":"127.0.0.1:4100","roster":{"bans":[{"id":"a","since_ns":1}],"cold":null}}`))
	f.Add([]byte(`{"version":1`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := decode(b, me); err == nil && (s.Who != me || s.Version != version || s.Roster.Check() != nil) {
			t.Errorf("%q is used", b)
		}
	})
}

// side is one process's part; what comes over the link is told on channels.
type side struct {
	ln     net.Listener
	state  State
	refuse error
	taken  chan *Peer
	told   chan string
}

func newSide(ln net.Listener) *side {
	return &side{ln: ln, state: state(2), taken: make(chan *Peer, 9), told: make(chan string, 999)}
}

func (s *side) Ban(b roster.Ban)                    { s.told <- "ban " + b.ID }
func (s *side) CallBack(id string)                  { s.told <- "call back " + id }
func (s *side) PeerReady(*Peer)                     { s.told <- "ready" }
func (s *side) PeerGone(*Peer)                      { s.told <- "gone" }
func (s *side) Offer() (net.Listener, State, error) { return s.ln, s.state, s.refuse }
func (s *side) Taken(p *Peer)                       { s.taken <- p }

func want(t *testing.T, s *side, words ...string) {
	t.Helper()
	for _, w := range words {
		if got := <-s.told; got != w {
			t.Errorf("told %q, want %q", got, w)
		}
	}
}

// The socket is handed on with all that waits on it: a client that connected before the old process closed its copy is
// accepted by the new one. Bans go both ways, and each side notices the other's end.
func TestHandover(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("a-long-name-", 15)) // longer than a Unix address may be
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Take(dir, me); !errors.Is(err, ErrNone) {
		t.Errorf("nobody there: %v", err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	old, next := newSide(ln), newSide(nil)
	door, err := Listen(dir, me, old)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Take(dir, Who{Name: "n4", Listen: me.Listen}); err == nil || errors.Is(err, ErrNone) {
		t.Errorf("another gateway: %v", err)
	}
	old.refuse = errors.New("the process is ending")
	if _, _, _, err := Take(dir, me); err == nil || !strings.Contains(err.Error(), "ending") {
		t.Errorf("refused: %v", err)
	}
	old.refuse = nil
	old.state.Module = &decide.Snapshot{Functions: []decide.FunctionSnapshot{{Name: strings.Repeat("x", maxState)}}} // too much: the bans go without it
	up, got, s, err := Take(dir, me)
	if err != nil || s.Module != nil || !reflect.DeepEqual(s.Roster, old.state.Roster) {
		t.Fatal(s, err)
	}
	defer got.Close()
	down := <-old.taken
	up.Start(next)
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	ln.Close()
	conn, err := got.Accept()
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "x")
	conn.Close()
	if n, err := client.Read(make([]byte, 1)); n != 1 {
		t.Errorf("the client got %d bytes: %v", n, err)
	}
	up.Ready()
	up.Ban(roster.Ban{ID: "a"})
	up.CallBack("a")
	want(t, old, "ready", "ban a", "call back a")
	down.Ban(roster.Ban{ID: "b"})
	down.CallBack("b")
	want(t, next, "ban b", "call back b")

	second, err := Listen(dir, me, next) // the new process takes the place
	if err != nil {
		t.Fatal(err)
	}
	door.Close()
	next.ln = got
	third, ln3, _, err := Take(dir, me)
	if err != nil {
		t.Fatal(err)
	}
	ln3.Close()
	third.Close()
	up.Close()
	want(t, old, "gone")
	want(t, next, "gone", "gone") // of the third process, and of its own link
	second.Close()
	if _, _, _, err := Take(dir, me); !errors.Is(err, ErrNone) {
		t.Errorf("a socket that nobody listens on: %v", err)
	}
}

// Whatever is said at the door or on the link, neither side panics, and a good process is served after it.
func TestJunkOnTheLink(t *testing.T) {
	dir := t.TempDir()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	old := newSide(ln)
	door, err := Listen(dir, me, old)
	if err != nil {
		t.Fatal(err)
	}
	defer door.Close()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 60 {
		c, err := net.Dial("unix", filepath.Join(dir, linkName))
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
		case 2: // a good hello, then junk on the link
			b, _ := frame(message{Kind: "hello", Who: &me})
			junk = append(b, junk...)
		}
		c.Write(junk)
		c.Close()
	}
	p, got, _, err := Take(dir, me)
	if err != nil {
		t.Fatal(err)
	}
	got.Close()
	p.Close()
}
