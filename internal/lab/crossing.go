package lab

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	// crossLimit is how long after a request was sent its connection may be found closed so that it counts as having crossed the
	// close of an idle connection.
	crossLimit = 50 * time.Millisecond
	// leftToSpeak is how long a gateway whose places are all taken leaves a new connection at least to say what it came for.
	leftToSpeak = 100 * time.Millisecond
)

// crossing sends a request once more, on a new connection, that has crossed the close of an idle one, as the platform's clients
// do. http.Transport does so by itself only for what it knows to be harmless. A connection that a killed gateway held is none
// that was closed as idle, nor is one that is new, but in a crowd: there it is if its client was slow to speak.
type crossing struct {
	http.RoundTripper
	lab   *Lab
	crowd bool
}

// RoundTrip sends a request.
func (c crossing) RoundTrip(req *http.Request) (*http.Response, error) {
	begun, reused := time.Now(), false
	var written atomic.Pointer[time.Time]
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }, WroteRequest: func(httptrace.WroteRequestInfo) {
		now := time.Now()
		written.Store(&now)
	}}
	resp, err := c.RoundTripper.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil || req.Context().Err() != nil || c.lab.lostSince(begun) {
		return resp, err
	}
	if reused && time.Since(begun) > crossLimit || !reused && !c.slow(begun, written.Load()) {
		return resp, err
	}
	again := req.Clone(req.Context())
	if again.Body, err = req.GetBody(); err != nil {
		return nil, err
	}
	c.lab.count(func(c *Counts) { c.Crossed++ })
	return c.RoundTripper.RoundTrip(again)
}

// slow reports whether a request on a new connection came so late that a gateway in a crowd may have closed it as one that says
// nothing, within crossLimit of that. written is nil if it never left.
func (c crossing) slow(begun time.Time, written *time.Time) bool {
	return c.crowd && time.Since(begun) >= leftToSpeak && (written == nil || time.Since(*written) <= crossLimit)
}
