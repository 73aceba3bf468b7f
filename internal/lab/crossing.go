package lab

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	// crossingWindow is how soon after a request was sent its connection has to fail for the request to count as one that crossed
	// the gateway's close of an idle connection.
	crossingWindow = 50 * time.Millisecond
	// firstByteGrace is how long a gateway without room for further connections waits at least for the first byte on a new
	// connection before it may close it.
	firstByteGrace = 100 * time.Millisecond
)

// resendTransport resends a request on a new connection if it crossed the close of an idle connection, as the platform's clients
// do; http.Transport does so by itself only for requests that it knows to be idempotent. A connection that failed because a gateway
// was killed doesn't count, and a new connection counts as idle only in a burst and if its client was slow to send.
type resendTransport struct {
	http.RoundTripper
	lab   *Lab
	burst bool // the request is part of a burst of connections
}

// RoundTrip sends a request, and resends it once if it crossed the close of an idle connection.
func (t resendTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	begun, reused := time.Now(), false
	var written atomic.Pointer[time.Time]
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }, WroteRequest: func(
		httptrace.WroteRequestInfo) {
		now := time.Now()
		written.Store(&now)
	}}
	resp, err := t.RoundTripper.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil || req.Context().Err() != nil || t.lab.interruptedSince(begun) {
		return resp, err
	}
	if reused && time.Since(begun) > crossingWindow || !reused && !t.closedAsSilent(begun, written.Load()) {
		return resp, err
	}
	resent := req.Clone(req.Context())
	if resent.Body, err = req.GetBody(); err != nil {
		return nil, err
	}
	t.lab.count(func(c *Counts) { c.Crossed++ })
	return t.RoundTripper.RoundTrip(resent)
}

// closedAsSilent reports whether a gateway under a burst may have closed a new connection because nothing was received on it: the
// connection failed firstByteGrace or later after begun, and at most crossingWindow after the request was written. written is nil if
// the request was never written.
func (t resendTransport) closedAsSilent(begun time.Time, written *time.Time) bool {
	return t.burst && time.Since(begun) >= firstByteGrace && (written == nil || time.Since(*written) <= crossingWindow)
}
