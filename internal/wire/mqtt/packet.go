// Package mqtt contains the front for calls that arrive as MQTT 5 messages, and the link to workers that subscribe to calls. It follows
// the OASIS standard "MQTT Version 5.0", as far as a client with QoS 0 and 1 needs.
package mqtt

import (
	"errors"
	"fmt"
	"time"
)

// Packet types that this package reads or writes.
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

// Reason codes that this package distinguishes.
const (
	Success       = 0x00
	NoSubscribers = 0x10 // of a PUBACK: the message was delivered to nobody
	Malformed     = 0x81
	ProtocolError = 0x82
	firstFailure  = 0x80 // all codes from here on are failures
)

// Identifiers of the properties that this package uses.
const (
	propMessageExpiry   = 0x02
	propResponseTopic   = 0x08
	propCorrelation     = 0x09
	propSubscriptionID  = 0x0b
	propSessionExpiry   = 0x11
	propServerKeepAlive = 0x13
	propReasonString    = 0x1f
	propReceiveMax      = 0x21
	propUser            = 0x26
	propMaxPacket       = 0x27
)

const (
	maxPacket       = 64 << 10            // bytes; a session accepts packets of this size, unless its options say otherwise
	maxFormatPacket = 1 + 4 + (1<<28 - 1) // bytes; the largest packet that the format has, which a broker takes that names no limit
)

// Pair is one user property.
type Pair struct{ Name, Value string }

// Props are the properties that this package uses; all others are checked for their form and ignored.
type Props struct {
	Expiry        uint32 // of a message, in seconds
	HasExpiry     bool
	ResponseTopic string
	Correlation   []byte
	User          []Pair
	SessionExpiry uint32 // in seconds
	KeepAlive     uint16 // in seconds, as the server requires it; valid with HasKeepAlive
	HasKeepAlive  bool
	ReceiveMax    uint16 // 0 if absent
	MaxPacket     uint32 // 0 if absent
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

// Packet is a packet as read. Fields that its type does not have are zero.
type Packet struct {
	Type           byte
	Flags          byte
	ID             uint16
	Reasons        []byte // CONNACK, PUBACK and DISCONNECT: one; SUBACK: one per filter
	SessionPresent bool   // CONNACK: the server has stored the session
	Topic          string
	Payload        []byte
	Props          Props
	ReceivedAt     time.Duration // when it was read, on the event loop's clock
	Body           []byte        // CONNECT and SUBSCRIBE, which only a server reads: all that follows the fixed header
}

// QoS is the quality of service of a PUBLISH.
func (p *Packet) QoS() byte { return p.Flags >> 1 & 3 }

// dupFlag marks a PUBLISH that may have been delivered before.
const dupFlag = 8

// Dup reports whether a PUBLISH is marked as possibly delivered before.
func (p *Packet) Dup() bool { return p.Flags&dupFlag != 0 }

// Retained reports whether a PUBLISH is a retained message, sent because of a new subscription.
func (p *Packet) Retained() bool { return p.Flags&1 != 0 }

// ErrMalformed is wrapped by the errors of all packets that the standard calls malformed.
var ErrMalformed = errors.New("malformed packet")

func malformed(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }
