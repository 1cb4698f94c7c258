package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// memoryLimit is limits.memory_mb of the settings; the platform kills a process that exceeds it.
	memoryLimit = 284
	// bigConfigs and routesEach are how often the configuration grows, and by how many routes.
	bigConfigs = 8
	routesEach = 471
	// Each storm has a new version every stormGap for stormTime.
	stormTime  = 2 * time.Second
	stormGap   = 80 * time.Millisecond
	stormPause = 500 * time.Millisecond
)

// memoryMB returns the memory of the node's process without that of the program's file.
func (n *node) memoryMB() float64 {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			var kb float64
			_, _ = fmt.Sscanf(value, "%f", &kb)
			return kb / 1024
		}
	}
	return 0
}

// configMemory lets the configuration grow and change in quick succession. It plays the platform,
// which kills a process that exceeds its memory.
func configMemory(w *world) error {
	c, err := newCloud(w)
	if err != nil {
		return err
	}
	version := 1
	routes := 0
	configure := func() {
		version += 3
		w.configure(version, func(config map[string]any) {
			list := config["routes"].([]any)
			for i := range routes {
				list = append(list, map[string]any{
					"name": fmt.Sprintf("route-%05d", i), "host": fmt.Sprintf("site%05d.example", i), "path_prefix": fmt.Sprintf("/p%05d/", i), "kind": "idempotent",
					"service": deskService, "timeout_ms": 1000 + version%7, "ttft_target_ms": 100, "max_attempts": 2, "priority": 2, "anonymous": false,
					"stream_resume": false, "session_affinity": false, "gap_target_ms": 0,
				})
			}
			config["routes"] = list
		})
	}
	configure()
	for i, z := range zones {
		if _, err := w.addWorker(fmt.Sprintf("i-llm%d", i), llmService, z, nil); err != nil {
			return err
		}
		if _, err := w.addWorker(fmt.Sprintf("i-desk%d", i), deskService, z, nil); err != nil {
			return err
		}
	}
	if err := w.addNodes(3, c.address); err != nil {
		return err
	}
	w.steadyLoad(30)
	for range bigConfigs {
		time.Sleep(500 * time.Millisecond)
		routes += routesEach
		configure()
	}
	spec, _, _ := w.store.Object("config", "main")
	w.say("the configuration has %d routes and %d bytes", routes, len(spec))
	if len(spec) > 1048576 {
		return fmt.Errorf("configuration of %d bytes", len(spec))
	}
	killed := make(map[string]int)
	watch := func() {
		for _, n := range w.nodes {
			if mb := n.memoryMB(); mb > memoryLimit {
				killed[n.name]++
				w.say("%s uses %.0f MB, its limit is %d MB: the platform kills it", n.name, mb, memoryLimit)
				n.signal(syscall.SIGKILL)
				<-n.exited
				if err := n.start(); err != nil {
					w.say("start %s: %v", n.name, err)
				}
			}
		}
	}
	storm := func() {
		for end := time.Now().Add(stormTime); time.Now().Before(end); time.Sleep(stormGap) {
			configure()
			watch()
		}
	}
	for i := 1; w.since(time.Now()) < 100; i++ {
		if w.trouble {
			storm()
		}
		for end := time.Now().Add(stormPause); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			watch()
		}
		line := fmt.Sprintf("storm %d, version %d, MB:", i, version)
		for _, n := range w.nodes {
			line += fmt.Sprintf(" %.0f", n.memoryMB())
		}
		w.say("%s", line)
	}
	total := 0
	for _, n := range killed {
		total += n
	}
	w.say("processes ended for their memory: %d, on %d of %d machines", total, len(killed), len(w.nodes))
	if total >= 3 && len(killed) >= 2 {
		return errBroken
	}
	return nil
}
