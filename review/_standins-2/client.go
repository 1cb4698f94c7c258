package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// nextID returns the id of a new client attempt.
func nextID() string {
	return fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(requestCount.Add(1)))
}

// steadyLoad sends orders to the nodes in turn until the case ends, some each second.
func (w *world) steadyLoad(perSecond int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}
	stop := make(chan struct{})
	w.atClose(func() { close(stop) })
	go func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			n := w.nodes[i%len(w.nodes)]
			go func() {
				req, err := http.NewRequest(http.MethodPost, "http://"+n.front()+"/confirm/"+fmt.Sprint(i), strings.NewReader("order"))
				if err != nil {
					return
				}
				req.Host = host
				req.Header.Set("Attempt-Id", nextID())
				req.Header.Set("Api-Key", apiKey)
				req.Header.Set("Deadline-Remaining", "1000")
				resp, err := client.Do(req)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}()
		}
	}()
}
