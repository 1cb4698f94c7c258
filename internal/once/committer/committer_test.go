package committer_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/once"
	"github.com/jujubeshed/jujubeshed/internal/once/committer"
	"github.com/jujubeshed/jujubeshed/internal/once/naive"
	"github.com/jujubeshed/jujubeshed/internal/once/oncetest"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	goleak.VerifyTestMain(m)
}

func start(store *oncetest.Store, node string, buckets int) *committer.Committer {
	return committer.New(store, committer.Options{
		Ledger: once.Options{Node: ident.NodeID(node), Incarnation: 1, Buckets: buckets},
		Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

func claimOf(key, attempt string) once.Claim {
	return once.Claim{
		Key: once.Key{Workspace: "w", Name: key}, Attempt: ident.AttemptID(attempt),
		Body: once.DigestOf([]byte("order")), Deadline: time.Now().Add(30 * time.Second),
	}
}

func answer(body string) once.Outcome {
	return once.Outcome{Verdict: verdict.Ran, Answer: once.Answer{Status: 201, Body: []byte(body)}}
}

// TestManyCallers checks that each key runs once, and that all its callers get the
// response of that run, with 8 concurrent callers per key on two nodes and a store that
// returns platformapi.ErrUnknown for 10 % of the writes.
func TestManyCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := oncetest.New(1)
		store.Delay, store.UnknownResultRate = 5*time.Millisecond, 0.1
		nodes := []*committer.Committer{start(store, "a", 2), start(store, "b", 2)}
		var mu sync.Mutex
		ran, got := make(map[string]int), make(map[string]map[string]int)
		var wg sync.WaitGroup
		for i := range 128 {
			key := fmt.Sprintf("k%d", i%16)
			wg.Go(func() {
				c := nodes[i%3%2]
				g, err := c.Claim(t.Context(), claimOf(key, fmt.Sprint(i)))
				if err != nil {
					t.Errorf("claim %s: %v", key, err)
					return
				}
				body := fmt.Sprintf("run %d", i)
				if g.Replay == nil {
					time.Sleep(20 * time.Millisecond)
					if err := c.Finish(t.Context(), g, answer(body)); err != nil {
						t.Errorf("finish %s: %v", key, err)
					}
				} else {
					body = string(g.Replay.Body)
				}
				mu.Lock()
				defer mu.Unlock()
				if g.Replay == nil {
					ran[key]++
				}
				if got[key] == nil {
					got[key] = make(map[string]int)
				}
				got[key][body]++
			})
		}
		wg.Wait()
		for key, bodies := range got {
			if ran[key] != 1 || len(bodies) != 1 {
				t.Errorf("key %s ran %d times, responses %v", key, ran[key], bodies)
			}
		}
		for _, c := range nodes {
			c.Stop()
		}
	})
}

func TestWithdrawAbandonAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := oncetest.New(1)
		store.Delay = 5 * time.Millisecond
		c := start(store, "a", 1)
		defer c.Stop()
		verdictOf := func(ctx context.Context, key, attempt string) (string, time.Duration) {
			begin := time.Now()
			_, err := c.Claim(ctx, claimOf(key, attempt))
			if err == nil {
				return "granted", time.Since(begin)
			}
			return verdict.Of(err).String(), time.Since(begin)
		}
		// The caller cancels while its claim is being written: no claim is left.
		short, cancel := context.WithTimeout(t.Context(), 7*time.Millisecond)
		defer cancel()
		if v, _ := verdictOf(short, "k", "1"); v != "not-run" {
			t.Errorf("withdrawn claim: %s", v)
		}
		g, err := c.Claim(t.Context(), claimOf("k", "2"))
		if err != nil || !g.MayDispatch(time.Now()) || g.MayDispatch(time.Now().Add(time.Minute)) {
			t.Fatalf("grant %+v: %v", g, err)
		}
		// A repeat that is cancelled while the first attempt runs gets may-have-run.
		short2, cancel2 := context.WithTimeout(t.Context(), time.Second)
		defer cancel2()
		if v, _ := verdictOf(short2, "k", "3"); v != "may-have-run" {
			t.Errorf("waiting repeat: %s", v)
		}
		// The first attempt did not run: the next caller gets the grant.
		if err := c.Abandon(t.Context(), g); err != nil {
			t.Error(err)
		}
		if v, _ := verdictOf(t.Context(), "k", "4"); v != "granted" {
			t.Errorf("after abandon: %s", v)
		}
		// The store is down: refused after three failed calls, and then immediately.
		store.SetDown(true)
		if v, took := verdictOf(t.Context(), "k2", "5"); v != "not-run" || took > time.Second {
			t.Errorf("store down: %s after %s", v, took)
		}
		if v, took := verdictOf(t.Context(), "k3", "6"); v != "not-run" || took > 0 {
			t.Errorf("store known to be down: %s after %s", v, took)
		}
		// An outcome is recorded once the store is available again.
		done := make(chan error, 1)
		go func() {
			done <- c.Finish(t.Context(), committer.Grant{Key: claimOf("k", "4").Key, Attempt: "4"}, answer("late"))
		}()
		time.Sleep(3 * time.Minute)
		store.SetDown(false)
		if err := <-done; err != nil {
			t.Errorf("outcome recorded after an outage: %v", err)
		}
		if g, err := c.Claim(t.Context(), claimOf("k", "7")); err != nil || g.Replay == nil || string(g.Replay.Body) != "late" {
			t.Errorf("repeat got %+v, %v", g, err)
		}
	})
}

// TestDrain drains a node with a running order, an order whose claim is being written, and
// one that waits for another node. The first one finishes, the second one leaves no claim,
// and the third one gets may-have-run.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := oncetest.New(1)
		store.Delay = 5 * time.Millisecond
		c, other := start(store, "a", 1), start(store, "b", 1)
		defer c.Stop()
		defer other.Stop()
		running, err := c.Claim(t.Context(), claimOf("running", "1"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := other.Claim(t.Context(), claimOf("elsewhere", "2")); err != nil {
			t.Fatal(err)
		}
		verdicts := make(chan string, 2)
		claim := func(key, attempt string) {
			_, err := c.Claim(t.Context(), claimOf(key, attempt))
			verdicts <- key + " " + verdict.Of(err).String()
		}
		go claim("elsewhere", "3")
		time.Sleep(time.Second)
		go claim("writing", "4")
		time.Sleep(time.Millisecond)
		go func() {
			time.Sleep(time.Second)
			if err := c.Finish(t.Context(), running, answer("done")); err != nil {
				t.Error(err)
			}
		}()
		begin := time.Now()
		if err := c.Drain(t.Context()); err != nil || time.Since(begin) < time.Second {
			t.Errorf("drain: %v after %s", err, time.Since(begin))
		}
		got := []string{<-verdicts, <-verdicts}
		slices.Sort(got)
		if want := []string{"elsewhere may-have-run", "writing not-run"}; !slices.Equal(got, want) {
			t.Errorf("waiting claims: %q, want %q", got, want)
		}
		if _, err := c.Claim(t.Context(), claimOf("late", "5")); verdict.Of(err) != verdict.NotRun {
			t.Errorf("claim at a draining node: %v", err)
		}
		open, err := other.OpenClaims(t.Context())
		if err != nil || len(open) != 1 || open[0].Key.Name != "elsewhere" || open[0].Node != "b" || open[0].Unconfirmed {
			t.Errorf("open claims %+v, %v", open, err)
		}
	})
}

// runOrders runs orders from concurrent callers in a closed loop, and returns the mean
// duration of an order.
func runOrders(callers, orders int, order func(i int)) (mean time.Duration) {
	var wg sync.WaitGroup
	begin := time.Now()
	for w := range callers {
		wg.Go(func() {
			for i := range orders / callers {
				order(w*orders + i)
			}
		})
	}
	wg.Wait()
	return time.Since(begin) * time.Duration(callers) / time.Duration(orders)
}

const (
	measuredOrders = 1024
	storeDelay     = 5 * time.Millisecond
	serviceTime    = 20 * time.Millisecond
	naiveCalls     = 3 // store calls of the naive ledger per order
)

// TestMeasureWrites logs the store calls per order and the latency that the ledger adds,
// compared with the naive ledger, on a simulated clock. It fails if there are more than
// two bucket writes per order, or as many store calls as the naive ledger makes.
func TestMeasureWrites(t *testing.T) {
	for _, callers := range []int{1, 8, 64} {
		for _, buckets := range []int{1, 4, 64} {
			synctest.Test(t, func(t *testing.T) {
				store := oncetest.New(1)
				store.Delay = storeDelay
				c := start(store, "a", buckets)
				defer c.Stop()
				took := runOrders(callers, measuredOrders, func(i int) {
					g, err := c.Claim(t.Context(), claimOf(fmt.Sprint(i), fmt.Sprint(i)))
					if err != nil {
						t.Error(err)
					}
					time.Sleep(serviceTime)
					if err := c.Finish(t.Context(), g, answer("thank you for your order")); err != nil {
						t.Error(err)
					}
				})
				n := store.Counts()
				t.Logf("%2d callers, %2d buckets: %.2f writes, %.2f reads, %5d bytes written per order; %s added",
					callers, buckets, float64(n.Puts)/measuredOrders, float64(n.Gets)/measuredOrders, n.Bytes/measuredOrders, took-serviceTime)
				if n.BucketPuts > 2*measuredOrders {
					t.Errorf("%d writes to buckets for %d orders", n.BucketPuts, measuredOrders)
				}
				if n.Puts+n.Gets >= naiveCalls*measuredOrders {
					t.Errorf("%d store calls for %d orders; the naive ledger makes %d per order", n.Puts+n.Gets, measuredOrders, naiveCalls)
				}
			})
		}
		synctest.Test(t, func(t *testing.T) {
			store := oncetest.New(1)
			store.Delay = storeDelay
			l := &naive.Ledger{Store: store, Node: "a", Incarnation: 1}
			took := runOrders(callers, measuredOrders, func(i int) {
				claim := claimOf(fmt.Sprint(i), fmt.Sprint(i))
				if _, _, err := l.Claim(t.Context(), claim); err != nil {
					t.Error(err)
				}
				time.Sleep(serviceTime)
				o := answer("thank you for your order")
				o.Key, o.Attempt = claim.Key, claim.Attempt
				if err := l.Finish(t.Context(), o); err != nil {
					t.Error(err)
				}
			})
			n := store.Counts()
			t.Logf("%2d callers, naive     : %.2f writes, %.2f reads, %5d bytes written per order; %s added",
				callers, float64(n.Puts)/measuredOrders, float64(n.Gets)/measuredOrders, n.Bytes/measuredOrders, took-serviceTime)
		})
	}
}
