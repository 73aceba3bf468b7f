package main

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"quillrail/decide"
)

// writeAction writes one action line of an instance: the verb, i=ID and the name-value pairs.
func (in *instance) writeAction(verb string, pairs ...string) {
	out := in.session.out
	out.WriteString(verb)
	out.WriteString(" i=")
	out.WriteString(strconv.Itoa(in.id))
	for i := 0; i < len(pairs); i += 2 {
		out.WriteByte(' ')
		out.WriteString(pairs[i])
		out.WriteByte('=')
		out.WriteString(pairs[i+1])
	}
	out.WriteByte('\n')
}

func formatID(number uint64) string { return strconv.FormatUint(number, 10) }

// formatSeconds returns a duration in seconds, cut to whole microseconds.
func formatSeconds(duration time.Duration) string {
	return strconv.FormatFloat(float64(duration/time.Microsecond)/1e6, 'f', -1, 64)
}

func formatFlag(on bool) string {
	if on {
		return "1"
	}
	return "0"
}

// The methods below implement decide.Gateway. Each writes one action.

func (in *instance) Route(handle uint64, host string, expireAt time.Duration) {
	if expireAt > 0 {
		in.writeAction("route", "handle", formatID(handle), "expire-at-s", formatSeconds(expireAt), "host", host)
		return
	}
	in.writeAction("route", "handle", formatID(handle), "host", host)
}

func (in *instance) Retract(handle uint64, attempt int) {
	in.writeAction("retract", "handle", formatID(handle), "shot", strconv.Itoa(attempt))
}

func (in *instance) Refuse(handle uint64, pause time.Duration, _ decide.Reason) {
	if pause > 0 {
		in.writeAction("refuse", "handle", formatID(handle), "pause-s", formatSeconds(pause))
		return
	}
	in.writeAction("refuse", "handle", formatID(handle))
}

func (in *instance) Fail(handle uint64, _ decide.Reason) {
	in.writeAction("lose", "handle", formatID(handle))
}

func (in *instance) Order(host, function string, copies int) {
	in.writeAction("start_copy", "copies", strconv.Itoa(copies), "host", host, "model", function)
}

func (in *instance) Unload(host, function string) {
	in.writeAction("shelve", "host", host, "model", function)
}

func (in *instance) Probe(host string) { in.writeAction("test", "host", host) }

// SendPeer writes * for all peers and - for empty content.
func (in *instance) SendPeer(peer int, content []byte) {
	target, text := "*", "-"
	if peer >= 0 {
		target = strconv.Itoa(peer)
	}
	if len(content) > 0 {
		text = base64.StdEncoding.EncodeToString(content)
	}
	in.writeAction("broadcast_to", "target", target, "content", text)
}

func (in *instance) Watch(on bool) { in.writeAction("watch", "on", formatFlag(on)) }

func (in *instance) Lookup() { in.writeAction("lookup") }

func (in *instance) Release(host string) { in.writeAction("release", "host", host) }

func (in *instance) WakeAt(after time.Duration, token string) {
	in.writeAction("wake_at", "after-s", formatSeconds(after), "token", token)
}

// Log writes the field names of decide.Notice to the simulator, so they are part of the protocol.
func (in *instance) Log(notice decide.Notice) {
	in.writeAction("say_log", "reason-text", fmt.Sprintf("%+v", notice))
}
