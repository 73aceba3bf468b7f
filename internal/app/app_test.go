package app

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

const config = `{"name":"n","listen":"127.0.0.1:0","seed":"01","limits":{"cores":1,"memory_mb":64,"sockets":256},"bulletin":"%s",
 "known":{"no":7,"items":[]},"settings":{"azs":["x"],"kinds":["std"],"balancers":1,"classes":[{"deadline-s":0.5,"effect":
 "idempotent","key-scope":"all","name":"read","promise-s":0.5}],"policy-limits":{"conn-idle-s":30,"connect-timeout-s":0.25,
 "streams-per-conn":32,"try-limit":5}}}`

// On SIGHUP, the gateway reads its configuration again and connects to the bulletin address given there, from the last event on. An
// unusable file changes nothing, and the next SIGHUP is handled again. A process that doesn't handle SIGHUP would be ended by it.
func TestSIGHUPReloadsConfiguration(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "config.json")
	t.Setenv("NODE_CONFIG", file)
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var bulletins []net.Listener
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		bulletins = append(bulletins, l)
	}
	expectConnection := func(l net.Listener) {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		var last [8]byte
		if _, err := io.ReadFull(c, last[:]); err != nil || last[7] != 7 {
			t.Fatalf("the gateway asked for the events after %v, want 7: %v", last, err)
		}
	}
	write(fmt.Sprintf(config, bulletins[0].Addr()))
	ctx, stop := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() {
		result <- command().Run(ctx, []string{"quillrail", "serve", "--log-level", "error", "--mqtt", dir + "/none"})
	}()
	expectConnection(bulletins[0])
	for _, l := range bulletins[1:] {
		write("{")
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		write(fmt.Sprintf(config, l.Addr())) // the process may read the invalid text, this one or a part of it
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		expectConnection(l)
	}
	stop()
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// The commands that need no configuration print their output; a missing configuration or a bad flag gives an error of one line.
func TestCommandOutputAndErrors(t *testing.T) {
	t.Setenv("NODE_CONFIG", filepath.Join(t.TempDir(), "none.json"))
	for args, want := range map[string]string{"version": "quillrail ", "help": "check-config", "serve --help": "--mqtt"} {
		var out bytes.Buffer
		c := command()
		c.Writer = &out
		if err := c.Run(context.Background(), append([]string{"quillrail"}, strings.Fields(args)...)); err != nil ||
			!strings.Contains(out.String(), want) {
			t.Errorf("%s: %v, %q", args, err, out.String())
		}
	}
	for _, args := range []string{"serve", "check-config", "serve --log-level loud"} {
		err := command().Run(context.Background(), append([]string{"quillrail"}, strings.Fields(args)...))
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", args, err)
		}
	}
}
