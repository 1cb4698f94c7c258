package answer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// TestReadersSeeSameTokens starts readers at random offsets and times. Each must
// receive exactly the text from its offset to the end.
func TestReadersSeeSameTokens(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	rapid.Check(t, func(t *rapid.T) {
		a := New("r", "w", "m", true)
		type follower struct {
			r    *Reader
			from int
			got  string
		}
		var followers []*follower
		starts := []int{0}
		for i := range rapid.IntRange(0, 30).Draw(t, "tokens") {
			if rapid.Bool().Draw(t, "follow") {
				from := rapid.IntRange(0, i).Draw(t, "from")
				followers = append(followers, &follower{r: a.Follow(from), from: from})
			}
			tok := rapid.StringN(0, 3, -1).Draw(t, "token")
			a.Append(i, []byte(tok))
			starts = append(starts, len(a.Text()))
			if len(followers) > 0 && rapid.Bool().Draw(t, "read") {
				f := followers[rapid.IntRange(0, len(followers)-1).Draw(t, "reader")]
				f.got += string(f.r.Next().Text)
			}
		}
		a.Close(epoch, End{Reason: "stop"})
		for _, f := range followers {
			seg := f.r.Next()
			f.got += string(seg.Text)
			if !seg.End.Done || f.got != a.Text()[starts[f.from]:] {
				t.Fatalf("reader from %d got %q of %q, ended %v", f.from, f.got, a.Text(), seg.End.Done)
			}
		}
	})
}

func TestAppendOutOfOrder(t *testing.T) {
	before := invariant.Violations(invariant.OffsetsContiguous)
	a := New("r", "w", "m", true)
	a.Append(0, []byte("a"))
	a.Append(2, []byte("c")) // a gap
	a.Append(0, []byte("a")) // a repeat
	if a.Text() != "a" || invariant.Violations(invariant.OffsetsContiguous) != before+2 {
		t.Errorf("text %q, %d violations; want \"a\", 2", a.Text(), invariant.Violations(invariant.OffsetsContiguous)-before)
	}
}

func TestFirstEndCounts(t *testing.T) {
	a := New("r", "w", "m", true)
	a.Close(epoch, End{Reason: "stop"})
	a.Close(epoch, End{HandedOver: true})
	a.Append(0, []byte("late"))
	if end := a.End(); end.HandedOver || end.Reason != "stop" || a.Len() != 0 {
		t.Errorf("end = %+v with %d tokens, want the first end and no tokens", end, a.Len())
	}
}

func TestPauseBlocksAppend(t *testing.T) {
	a := New("r", "w", "m", true)
	a.Append(0, []byte("a"))
	a.PauseAppends()
	appended := make(chan struct{})
	go func() {
		a.Append(1, []byte("b"))
		close(appended)
	}()
	text, ends := a.Tokens()
	if string(text) != "a" || len(ends) != 1 {
		t.Errorf("paused with text %q, token ends %v; want \"a\", [1]", text, ends)
	}
	a.Close(epoch, End{HandedOver: true})
	<-appended
	if a.Text() != "a" {
		t.Errorf("a token was appended after the handover: %q", a.Text())
	}
}

func TestExpire(t *testing.T) {
	table := NewTable()
	table.MaxBytes = 10
	add := func(id ident.RequestID, ended time.Duration, text string) {
		a := New(id, "w", "m", false)
		table.Add(a)
		a.Append(0, []byte(text))
		if ended >= 0 {
			a.Close(epoch.Add(ended), End{Reason: "stop"})
		}
	}
	add("old", 0, "x")
	add("large", time.Minute, "0123456")
	add("new", 2*time.Minute, "x")
	add("running", -1, "0123456789")
	table.Expire(epoch.Add(DefaultRetention + time.Second))
	for id, want := range map[ident.RequestID]bool{"old": false, "large": false, "new": true, "running": true} {
		if got := table.Get(id) != nil; got != want {
			t.Errorf("answer %q kept: %t, want %t", id, got, want)
		}
	}
	if n := len(table.InProgress()); n != 1 {
		t.Errorf("%d answers in progress, want 1", n)
	}
	if _, added := table.Add(New("running", "w", "m", false)); added {
		t.Error("an answer in progress was replaced")
	}
	handedOver := New("handed-over", "w", "m", false)
	handedOver.Close(epoch, End{HandedOver: true})
	table.Add(handedOver)
	if returned, added := table.Add(New("handed-over", "w", "m", false)); !added || table.Get("handed-over") != returned {
		t.Error("an answer that was handed back did not replace the handed-over one")
	}
}
