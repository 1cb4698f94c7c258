package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/api/gen/callers"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
	"github.com/jujubeshed/jujubeshed/internal/standin/service"
)

const plaque = `{"plaque":"oak"}`

// reply is what an order's caller saw.
type reply struct {
	status     int
	body       string
	retryAfter string
	problem    callers.Problem // of a refusal
}

func (r reply) String() string { return fmt.Sprintf("status %d: %s", r.status, r.body) }

// place places an order at node i.
func (s *site) place(t *testing.T, i int, key, body string) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.from(i)[0]+"/orders", strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return reply{}
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	req.Header.Set("Idempotency-Key", key)
	return send(t, req)
}

// send sends a request; a refusal must be a problem document.
func send(t *testing.T, req *http.Request) reply {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return reply{}
	}
	return readReply(t, resp)
}

func readReply(t *testing.T, resp *http.Response) reply {
	defer func() { _ = resp.Body.Close() }()
	var b strings.Builder
	if err := resp.Write(&b); err != nil {
		t.Error(err)
	}
	_, body, _ := strings.Cut(b.String(), "\r\n\r\n")
	r := reply{status: resp.StatusCode, body: body, retryAfter: resp.Header.Get("Retry-After")}
	if r.status < http.StatusBadRequest {
		return r
	}
	if ct := resp.Header.Get("Content-Type"); ct != "application/problem+json" {
		t.Errorf("%v: content type %q, want a problem document", r, ct)
	} else if err := json.Unmarshal([]byte(body), &r.problem); err != nil {
		t.Errorf("%v: %v", r, err)
	}
	return r
}

// placeEverywhere places an order at all nodes at once.
func (s *site) placeEverywhere(t *testing.T, key, body string) []reply {
	replies := make([]reply, len(s.nodes))
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() { replies[i] = s.place(t, i, key, body) })
	}
	wg.Wait()
	return replies
}

// wantEffects checks how often an order took effect, and that no attempt did twice.
func (s *site) wantEffects(t *testing.T, key string, want int) {
	t.Helper()
	e := s.effects(t)
	if n := e.ByKey[key]; n != want {
		t.Errorf("order %s took effect %d times, want %d", key, n, want)
	}
	for id, n := range e.ByAttempt {
		if n > 1 {
			t.Errorf("attempt %s took effect %d times", id, n)
		}
	}
}

func wantVerdict(t *testing.T, r reply, status int, v callers.ProblemVerdict) {
	t.Helper()
	if r.status != status || r.problem.Verdict != v {
		t.Errorf("%v, want status %d and verdict %s", r, status, v)
	}
}

// TestOrders makes desk, store and nodes fail under orders and their repeats.
func TestOrders(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{})
	t.Run("repeat", s.repeatedOrder)
	t.Run("cut", s.cutOrder)
	t.Run("refused", s.refusedOrder)
	t.Run("store down", s.orderWithStoreDown)
	t.Run("store slow", func(t *testing.T) { s.ordersWith(t, "slow", memstore.Faults{Delay: 300 * time.Millisecond}) })
	t.Run("store loses answers", func(t *testing.T) { s.ordersWith(t, "lose", memstore.Faults{LoseAnswer: 0.5, Conflict: 0.2}) })
}

// TestOrderOfKilledNode kills a node between an order's claim and its outcome.
func TestOrderOfKilledNode(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		faults  service.Faults
		effects int
	}{
		{"before the effect", service.Faults{Freeze: true}, 0},
		{"after the effect", service.Faults{Delay: time.Minute}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			newSite(t, siteOptions{}).orderOfKilledNode(t, c.faults, c.effects)
		})
	}
}

// repeatedOrder places one key at all nodes at once, then with another body.
func (s *site) repeatedOrder(t *testing.T) {
	var first reply
	for i, r := range s.placeEverywhere(t, "repeat", plaque) {
		if i == 0 {
			first = r
		}
		if r.status != http.StatusCreated || r.body != first.body {
			t.Errorf("node %d: %v, want the same as %v", i, r, first)
		}
	}
	for _, r := range s.placeEverywhere(t, "repeat", `{"plaque":"elm"}`) {
		wantVerdict(t, r, http.StatusUnprocessableEntity, callers.ProblemVerdictNotRun)
	}
	s.wantEffects(t, "repeat", 1)
}

// cutOrder loses the desk's answer after the effect.
func (s *site) cutOrder(t *testing.T) {
	s.deskFaults(t, service.Faults{CutRate: 1})
	r := s.place(t, 0, "cut", plaque)
	if r.problem.Verdict != callers.ProblemVerdictMayHaveRun {
		t.Errorf("%v, want verdict may-have-run", r)
	}
	s.deskFaults(t, service.Faults{})
	for _, r := range s.placeEverywhere(t, "cut", plaque) {
		wantVerdict(t, r, http.StatusConflict, callers.ProblemVerdictMayHaveRun)
	}
	s.wantEffects(t, "cut", 1)
}

// refusedOrder lets the desk refuse before any effect.
func (s *site) refusedOrder(t *testing.T) {
	s.deskFaults(t, service.Faults{RefuseRate: 1})
	r := s.place(t, 0, "refused", plaque)
	if r.problem.Verdict != callers.ProblemVerdictNotRun || r.retryAfter == "" {
		t.Errorf("%v with Retry-After %q, want verdict not-run and a time", r, r.retryAfter)
	}
	s.wantEffects(t, "refused", 0)
	s.deskFaults(t, service.Faults{})
	s.untilConfirmed(t, "refused")
	s.wantEffects(t, "refused", 1)
}

// untilConfirmed repeats an order at all nodes until it is confirmed; a refusal
// must say not-run.
func (s *site) untilConfirmed(t *testing.T, key string) {
	t.Helper()
	i := 0
	eventually(t, "order "+key, func() error {
		r := s.place(t, i, key, plaque)
		i++
		if r.status == http.StatusCreated {
			return nil
		}
		if r.problem.Verdict != callers.ProblemVerdictNotRun {
			t.Fatalf("%v, want verdict not-run", r)
		}
		return fmt.Errorf("%v", r)
	})
}

// orderWithStoreDown refuses orders while their claims can't be kept.
func (s *site) orderWithStoreDown(t *testing.T) {
	s.storeFaults(t, memstore.Faults{Down: true})
	for _, r := range s.placeEverywhere(t, "down", plaque) {
		wantVerdict(t, r, http.StatusServiceUnavailable, callers.ProblemVerdictNotRun)
		if r.retryAfter == "" {
			t.Errorf("%v without Retry-After", r)
		}
	}
	s.wantEffects(t, "down", 0)
	s.storeFaults(t, memstore.Faults{})
	s.untilConfirmed(t, "down")
	s.wantEffects(t, "down", 1)
}

// ordersWith places orders at all nodes at once, twice, while the store has faults.
func (s *site) ordersWith(t *testing.T, prefix string, f memstore.Faults) {
	s.storeFaults(t, f)
	var wg sync.WaitGroup
	seen := make([][]reply, 12)
	for i := range seen {
		wg.Go(func() {
			key := fmt.Sprintf("%s-%d", prefix, i)
			seen[i] = append(s.placeEverywhere(t, key, plaque), s.placeEverywhere(t, key, plaque)...)
		})
	}
	wg.Wait()
	s.storeFaults(t, memstore.Faults{})
	ran := s.effects(t).ByKey
	for i, replies := range seen {
		key := fmt.Sprintf("%s-%d", prefix, i)
		confirmed, unclear := false, false
		for _, r := range replies {
			confirmed = confirmed || r.status == http.StatusCreated
			unclear = unclear || r.status != http.StatusCreated && r.problem.Verdict != callers.ProblemVerdictNotRun
		}
		if n := ran[key]; n > 1 || confirmed && n != 1 || !confirmed && !unclear && n > 0 {
			t.Errorf("order %s took effect %d times; its replies: %v", key, n, replies)
		}
		s.place(t, i, key, plaque)
	}
	for key, n := range s.effects(t).ByKey {
		if n > 1 {
			t.Errorf("order %s took effect %d times", key, n)
		}
	}
}

// orderOfKilledNode kills a node between an order's claim and its outcome: the desk
// holds the order before its effect, or its answer after it. What the desk holds
// may still take effect; within the route's deadline callers are told that it may
// have run, and no repeat may run the order again.
func (s *site) orderOfKilledNode(t *testing.T, f service.Faults, effects int) {
	const key, node = "killed", 1
	dir := copyExample(t, "    require_key: true\n", "    require_key: true\n    deadline: 4s\n")
	runCommand(t, 0, "apply", "--platform", s.platform, dir)
	s.everywhere(t, int64(s.accepted(t).Revision))
	s.deskFaults(t, f)
	go func() { _, _, _ = order(s.nodes[node], key, plaque) }()
	eventually(t, "the order at the desk", func() error {
		if st := s.deskStatus(t); st.Running == 0 || s.effects(t).ByKey[key] != effects {
			return fmt.Errorf("%+v", st)
		}
		return nil
	})
	s.nodeProc[node].kill()
	s.deskFaults(t, service.Faults{})
	s.mayHaveRun(t, key)
	s.startNode(t, node)
	eventually(t, "restarted node", ready(s.nodes[node]))
	s.mayHaveRun(t, key)
	if n := s.effects(t).ByKey[key]; n < effects || n > 1 {
		t.Errorf("order %s took effect %d times", key, n)
	}
}

// mayHaveRun repeats an order at all live nodes at once: none knows its outcome.
func (s *site) mayHaveRun(t *testing.T, key string) {
	t.Helper()
	var wg sync.WaitGroup
	for i, p := range s.nodeProc {
		if p.alive() {
			wg.Go(func() {
				wantVerdict(t, s.place(t, i, key, plaque), http.StatusConflict, callers.ProblemVerdictMayHaveRun)
			})
		}
	}
	wg.Wait()
}

func (s *site) deskStatus(t *testing.T) service.Status {
	t.Helper()
	var st service.Status
	get(t, s.desk, &st)
	return st
}
