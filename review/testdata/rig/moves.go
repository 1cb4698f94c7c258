package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["reclaimed-streams"] = reclaimedStreams }

// reclaimedStreams: a server with running streams is reclaimed. The nodes move its runs to the
// other servers. Its link is too slow for all of them, so that it is gone before the last copies
// are complete, when it has already stopped these runs and closed their streams without their
// end. No client may get such a stream as a complete one.
func reclaimedStreams(d *deployment, trouble bool) ([]string, error) {
	const (
		clients = 90
		pieces  = 70
		gap     = 90 * time.Millisecond
		notice  = 2500 * time.Millisecond
		// An inscription-draft has about 12,000 prompt tokens of 131,072 bytes; a link of
		// 200,000 Mbit/s takes 63 ms for them.
		copyTime = 63 * time.Millisecond
	)
	if err := d.startStore(); err != nil {
		return nil, err
	}
	d.store.Set("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "draft", "host": "shop.example", "path_prefix": "/draft/", "service": "draft-models", "kind": "stream", "timeout_ms": 10000,
			"ttft_target_ms": 800, "gap_target_ms": 400, "max_attempts": 1, "priority": 1, "session_affinity": true, "stream_resume": false,
		}},
		"services": []map[string]any{{
			"name": "draft-models", "health_path": "/health", "max_conns": 300,
			"engine": map[string]any{"slots": 48, "kv_capacity": 444000, "moves": true, "kv_bytes": 131072, "link_mbps": 200000},
		}},
		"tenants": []map[string]any{{"name": "desk", "api_keys": []string{"key-1"}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	shared := &copies{at: make(map[string]kvCopy)}
	var engines []*engine
	for i := range 3 {
		e := &engine{
			d: d, copies: shared, id: fmt.Sprintf("i-%d", i+1), addr: fmt.Sprintf("%s:8308", d.ip(101+i)), service: "draft-models", spot: i == 0,
			pieces: pieces, gap: gap, copyTime: copyTime,
		}
		if err := e.start(); err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	if err := d.addNodes(3); err != nil {
		return nil, err
	}
	answers := make([]answer, clients)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			r := request{
				id: fmt.Sprintf("a%04d", i), method: "POST", path: fmt.Sprintf("/draft/%d", i), key: "key-1", body: "a letter", deadline: 10 * time.Second,
				header: map[string]string{"Model": "m", "Token-Counts": "12000,560", "Prompt-Prefix": fmt.Sprintf("%x:500,%x:4900,%x:6600", 1+i%3, 1000+i, 5000+i)},
			}
			n := d.nodes[i%len(d.nodes)]
			d.logf("client sends %s to %s", r.id, n.name)
			answers[i] = send(n, r)
			d.logf("client of %s got %s", r.id, answers[i])
		})
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		engines[0].reclaim(notice)
	}
	wg.Wait()
	var violations []string
	broken := 0
	for _, a := range answers {
		switch {
		case a.status == 200 && a.complete && len(a.events) < pieces:
			violations = append(violations, fmt.Sprintf("ORDER: the stream of %s ended as complete after event %d of %d", a.id, len(a.events), pieces))
		case !a.complete || a.status != 200:
			broken++
		}
	}
	d.logf("%d of %d streams were not complete and did not look so", broken, clients)
	if !trouble && broken > 0 {
		return violations, fmt.Errorf("%d streams failed without trouble", broken)
	}
	return violations, nil
}
