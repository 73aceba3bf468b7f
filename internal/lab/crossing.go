package lab

import (
	"net/http"
	"net/http/httptrace"
	"time"
)

// crossLimit is how long after a request was sent its connection may be found closed so that it counts as having crossed the
// close of an idle connection.
const crossLimit = 50 * time.Millisecond

// crossing sends a request once more, on a new connection, that has crossed the close of an idle one, as the platform's clients
// do. http.Transport does so by itself only for what it knows to be harmless. A connection that is new, or one that a killed
// gateway held, is none that was closed as idle.
type crossing struct {
	http.RoundTripper
	lab *Lab
}

// RoundTrip sends a request.
func (c crossing) RoundTrip(req *http.Request) (*http.Response, error) {
	begun, reused := time.Now(), false
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}
	resp, err := c.RoundTripper.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil || !reused || time.Since(begun) > crossLimit || req.Context().Err() != nil || c.lab.lostSince(begun) {
		return resp, err
	}
	again := req.Clone(req.Context())
	if again.Body, err = req.GetBody(); err != nil {
		return nil, err
	}
	c.lab.count(func(c *Counts) { c.Crossed++ })
	return c.RoundTripper.RoundTrip(again)
}
