package link

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
)

// Guards against an error text with a nil error in it: a connection that began with another byte was logged as "%!w(<nil>)".
func TestErrorOfAForeignConnectionNamesItsFirstByte(t *testing.T) {
	manager := New(Hello{Fleet: "one", Name: "a", Incarnation: 1}, nil, nil)
	defer manager.Close()
	for first, want := range map[string]string{"G": "link: connection begins with byte 0x47, not with the magic byte", "": "EOF"} {
		near, far := net.Pipe()
		go func() {
			io.WriteString(near, first)
			near.Close()
		}()
		err := manager.Accept(far)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "nil") {
			t.Errorf("connection %q: error %v, want %q", first, err, want)
		}
		if first == "" && !errors.Is(err, io.EOF) {
			t.Errorf("a connection that ends at once: %v, want io.EOF", err)
		}
	}
}
