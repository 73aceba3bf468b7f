package lab

import (
	"net/http"
	"time"
)

const pollLimit = 500 * time.Millisecond // for a gateway to say whether it takes clients

// poll asks a gateway every so often whether it takes clients, until stop is closed. seen gets the status of each answer, or 0 where
// there was none.
func poll(g *Gateway, every time.Duration, stop <-chan struct{}, seen func(status int)) {
	client := &http.Client{Timeout: pollLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		resp, err := client.Get("http://" + g.Addr + "/check")
		if err != nil {
			seen(0)
			continue
		}
		resp.Body.Close()
		seen(resp.StatusCode)
	}
}
