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

// CurrentConfig stores the configuration in force. It is safe for concurrent use.
type CurrentConfig struct {
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

var _ Listener = (*CurrentConfig)(nil)

// NewCurrentConfig returns a CurrentConfig without a configuration. The configuration is
// the store's object with the given key.
func NewCurrentConfig(key platformapi.Key, decode Decoder, log *slog.Logger) *CurrentConfig {
	return &CurrentConfig{decode: decode, key: key, log: log}
}

// Config returns the configuration in force; nil before the first one.
func (c *CurrentConfig) Config() *site.Config { return c.config.Load() }

// Version returns the version of the configuration in force; zero before the first one.
func (c *CurrentConfig) Version() uint64 {
	if cfg := c.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// Raw returns the configuration in force as the operator wrote it.
func (c *CurrentConfig) Raw() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.raw
}

// OnChange registers a function that is called with each new configuration.
func (c *CurrentConfig) OnChange(f func(*site.Config)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.listeners = append(c.mu.listeners, f)
}

// Offer puts a configuration in force if its version is higher than the present one.
// Source is its origin, for the log.
func (c *CurrentConfig) Offer(raw []byte, source string) {
	cfg, err := c.decode(raw)
	if err != nil {
		c.log.Error("config: Cannot be decoded; the present one stays in force.", "source", source, "version", c.Version(), "error", err)
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
func (c *CurrentConfig) Replace(objects []platformapi.Object) { c.Change(objects) }

// Change implements Listener. A configuration that was removed stays in force.
func (c *CurrentConfig) Change(objects []platformapi.Object) {
	for _, o := range objects {
		if o.Key == c.key && o.Version != 0 {
			c.Offer(o.Value, "store")
		}
	}
}
