package directory

import (
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// Decoder decodes the operator's configuration.
type Decoder func(value []byte) (*site.Config, error)

// Current holds the configuration in force.
type Current struct {
	decode Decoder
	key    platformapi.Key
	log    *slog.Logger
	config atomic.Pointer[site.Config]

	mu struct {
		sync.Mutex
		raw       []byte
		listeners []func(*site.Config)
	}
}

var _ Listener = (*Current)(nil)

// NewCurrent returns a holder without a configuration; key names its object.
func NewCurrent(key platformapi.Key, decode Decoder, log *slog.Logger) *Current {
	return &Current{decode: decode, key: key, log: log}
}

// Config returns the configuration in force; nil before the first one.
func (c *Current) Config() *site.Config { return c.config.Load() }

// Version returns its version; zero before the first one.
func (c *Current) Version() uint64 {
	if cfg := c.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// Raw returns the configuration in force as the operator wrote it.
func (c *Current) Raw() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.raw
}

// OnChange registers a function that is called with each new configuration.
func (c *Current) OnChange(f func(*site.Config)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.listeners = append(c.mu.listeners, f)
}

// Offer puts a configuration in force where it is newer than the present one.
func (c *Current) Offer(raw []byte, source string) {
	cfg, err := c.decode(raw)
	if err != nil {
		c.log.Error("config: Cannot be read, the one in force stays.", "source", source, "version", c.Version(), "error", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.Version()
	if cfg.Version <= old {
		return
	}
	c.mu.raw = raw
	c.config.Store(cfg)
	for _, f := range c.mu.listeners {
		f(cfg)
	}
	c.log.Info("config: In force.", "version", cfg.Version, "before", old, "source", source, "routes", len(cfg.Routes), "workspaces", len(cfg.Workspaces))
}

// Replace implements Listener.
func (c *Current) Replace(objects []platformapi.Object) { c.Change(objects) }

// Change implements Listener. A configuration that was removed stays in force.
func (c *Current) Change(objects []platformapi.Object) {
	for _, o := range objects {
		if o.Key == c.key && o.Version != 0 {
			c.Offer(o.Value, "store")
		}
	}
}
