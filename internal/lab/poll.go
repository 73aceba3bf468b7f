package lab

import (
	"net/http"
	"time"
)

const pollTimeout = 500 * time.Millisecond // for a gateway's answer to a readiness check

// poll requests the readiness of a gateway at each interval until stop is closed. onStatus receives the HTTP status of each answer,
// or 0 if there was none.
func poll(g *Gateway, interval time.Duration, stop <-chan struct{}, onStatus func(status int)) {
	client := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		resp, err := client.Get("http://" + g.Addr + "/check")
		if err != nil {
			onStatus(0)
			continue
		}
		resp.Body.Close()
		onStatus(resp.StatusCode)
	}
}
