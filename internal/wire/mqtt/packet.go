// Package mqtt is the second front: calls that come as MQTT 5 messages, and calls sent on as such to workers
// that subscribe. It follows the OASIS standard "MQTT Version 5.0", as far as a client with QoS 0 and 1 needs.
package mqtt

import (
	"errors"
	"fmt"
	"time"
)

// The types of packet that are spoken here.
const (
	Connect    = 1
	Connack    = 2
	Publish    = 3
	Puback     = 4
	Subscribe  = 8
	Suback     = 9
	Pingreq    = 12
	Pingresp   = 13
	Disconnect = 14
)

// The reason codes that mean something here.
const (
	Success        = 0x00
	NoSubscribers  = 0x10 // of a PUBACK: nobody got the message
	Malformed      = 0x81
	ProtocolError  = 0x82
	failureReasons = 0x80 // and above
)

// maxPacket bounds a packet; the broker is told of it.
const maxPacket = 64 << 10

// Pair is one user property.
type Pair struct{ Name, Value string }

// Props are the properties that mean something here; the others are checked for their form and passed over.
type Props struct {
	Expiry        uint32 // of a message, in seconds
	HasExpiry     bool
	ResponseTopic string
	Correlation   []byte
	User          []Pair
	SessionExpiry uint32
	KeepAlive     uint16 // as the server wants it, with HasKeepAlive
	HasKeepAlive  bool
	ReceiveMax    uint16 // 0 where not told
	MaxPacket     uint32 // 0 where not told
	Reason        string
}

// Get returns the first user property of a name.
func (p *Props) Get(name string) string {
	for _, u := range p.User {
		if u.Name == name {
			return u.Value
		}
	}
	return ""
}

// Packet is one packet as read. The fields that its type lacks are zero.
type Packet struct {
	Type    byte
	Flags   byte
	ID      uint16
	Reasons []byte // one of CONNACK, PUBACK and DISCONNECT, one a filter of SUBACK
	Present bool   // CONNACK: the server has kept the session
	Topic   string
	Payload []byte
	Props   Props
	Came    time.Duration // when it was read, on the loop's clock
	Rest    []byte        // of the types that only a server reads: all that follows the fixed header
}

// QoS is the quality of service of a PUBLISH.
func (p *Packet) QoS() byte { return p.Flags >> 1 & 3 }

// Dup reports whether a PUBLISH may have been delivered before.
func (p *Packet) Dup() bool { return p.Flags&8 != 0 }

// Retained reports whether a PUBLISH was kept by the broker from before the subscription.
func (p *Packet) Retained() bool { return p.Flags&1 != 0 }

// ErrMalformed is the error of all that the standard calls malformed.
var ErrMalformed = errors.New("malformed packet")

func malformed(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }
