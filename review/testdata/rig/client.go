package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id     string
	status int
	seal   string
	body   string
	events []int // ids, in order
	// complete reports whether the answer ended as its framing says. Otherwise err is why not.
	complete bool
	err      error
}

// request is one attempt of a client.
type request struct {
	id, method, path, key, body string
	deadline                    time.Duration
	header                      map[string]string
}

// send sends a request to a node on a channel of its own and reads the answer.
func send(n *node, r request) answer {
	return sendWith(&http.Transport{DisableKeepAlives: true, DisableCompression: true}, n, r)
}

func sendWith(t *http.Transport, n *node, r request) answer {
	a := answer{id: r.id}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline+2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+n.front()+r.path, strings.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "shop.example"
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	req.Header.Set("Attempt-Id", r.id)
	req.Header.Set("Api-Key", r.key)
	req.Header.Set("Deadline-Remaining", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	resp, err := t.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.seal = resp.StatusCode, resp.Header.Get("Server-Seal")
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		raw, err := io.ReadAll(resp.Body)
		a.body, a.err, a.complete = string(raw), err, err == nil
		return a
	}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			n, _ := strconv.Atoi(id)
			a.events = append(a.events, n)
		}
		if errors.Is(err, io.EOF) {
			a.complete = true
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
	}
}

func (a answer) String() string {
	last := 0
	if len(a.events) > 0 {
		last = a.events[len(a.events)-1]
	}
	return fmt.Sprintf("status %d, seal %q, %d events, last %d, ended as complete %t, error %v", a.status, a.seal, len(a.events), last, a.complete, a.err)
}
