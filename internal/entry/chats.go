package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// runningChat is a chat completion that runs on this node, with its cancel function.
type runningChat struct {
	chat   *ChatCompletion
	cancel context.CancelFunc
}

// chatTable contains the chat completions that run on this node.
type chatTable struct {
	mu struct {
		sync.Mutex
		byID map[ident.RequestID]runningChat
	}
}

func newChatTable() *chatTable {
	t := &chatTable{}
	t.mu.byID = make(map[ident.RequestID]runningChat)
	return t
}

func (t *chatTable) add(chat *ChatCompletion, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.byID[chat.Request.ID] = runningChat{chat, cancel}
}

func (t *chatTable) remove(id ident.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.mu.byID, id)
}

// list returns the running chat completions, ordered by request ID.
func (t *chatTable) list() []runningChat {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]runningChat, 0, len(t.mu.byID))
	for _, c := range t.mu.byID {
		out = append(out, c)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].chat.Request.ID < out[k].chat.Request.ID })
	return out
}

// abandoned returns the chat completions whose last reader was closed more than
// abandonTimeout before now. It excludes requests of the class long, whose callers may
// reconnect later.
func (t *chatTable) abandoned(now time.Time) []runningChat {
	var out []runningChat
	for _, c := range t.list() {
		since, idle := c.chat.Answer.IdleSince()
		long := c.chat.Request.Route.Class == ident.ClassLong
		if idle && !long && !since.IsZero() && now.Sub(since) > abandonTimeout {
			out = append(out, c)
		}
	}
	return out
}
