package main

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"quillrail/decide"
)

// put writes one action line of an instance.
func (in *instance) put(verb string, pairs ...string) {
	w := in.s.out
	w.WriteString(verb)
	w.WriteString(" i=")
	w.WriteString(strconv.Itoa(in.id))
	for i := 0; i < len(pairs); i += 2 {
		w.WriteByte(' ')
		w.WriteString(pairs[i])
		w.WriteByte('=')
		w.WriteString(pairs[i+1])
	}
	w.WriteByte('\n')
}

func id(n uint64) string { return strconv.FormatUint(n, 10) }

func secs(d time.Duration) string {
	return strconv.FormatFloat(float64(d/time.Microsecond)/1e6, 'f', -1, 64)
}

func flag(on bool) string {
	if on {
		return "1"
	}
	return "0"
}

// The methods below make an instance the module's Gateway: one wire action each.

func (in *instance) Route(n uint64, host string, expireAt time.Duration) {
	if expireAt > 0 {
		in.put("route", "handle", id(n), "expire-at-s", secs(expireAt), "host", host)
		return
	}
	in.put("route", "handle", id(n), "host", host)
}

func (in *instance) Retract(n uint64, shot int) {
	in.put("retract", "handle", id(n), "shot", strconv.Itoa(shot))
}

func (in *instance) Refuse(n uint64, pause time.Duration, _ decide.Reason) {
	if pause > 0 {
		in.put("refuse", "handle", id(n), "pause-s", secs(pause))
		return
	}
	in.put("refuse", "handle", id(n))
}

func (in *instance) Fail(n uint64, _ decide.Reason) { in.put("lose", "handle", id(n)) }

func (in *instance) Order(host, function string, copies int) {
	in.put("start_copy", "copies", strconv.Itoa(copies), "host", host, "model", function)
}

func (in *instance) Unload(host, function string) { in.put("shelve", "host", host, "model", function) }

func (in *instance) Probe(host string) { in.put("test", "host", host) }

func (in *instance) SendPeer(peer int, content []byte) {
	target, text := "*", "-"
	if peer >= 0 {
		target = strconv.Itoa(peer)
	}
	if len(content) > 0 {
		text = base64.StdEncoding.EncodeToString(content)
	}
	in.put("broadcast_to", "target", target, "content", text)
}

func (in *instance) Watch(on bool) { in.put("watch", "on", flag(on)) }

func (in *instance) Lookup() { in.put("lookup") }

func (in *instance) Release(host string) { in.put("release", "host", host) }

func (in *instance) WakeAt(after time.Duration, token string) {
	in.put("wake_at", "after-s", secs(after), "token", token)
}

func (in *instance) Log(n decide.Notice) {
	in.put("say_log", "reason-text", fmt.Sprintf("%+v", n))
}
