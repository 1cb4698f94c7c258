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

const orderBody = `{"plaque":"oak"}`

// reply is a response as the caller received it.
type reply struct {
	status     int
	body       string
	retryAfter string
	problem    callers.Problem // of a response with status 400 or above
}

func (r reply) String() string { return fmt.Sprintf("status %d: %s", r.status, r.body) }

// placeOrder places an order at node i.
func (d *deployment) placeOrder(t *testing.T, i int, key, body string) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.addressesFrom(i)[0]+"/orders", strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return reply{}
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	req.Header.Set("Idempotency-Key", key)
	return send(t, req)
}

// send sends a request. A response with status 400 or above must be a problem document.
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

// placeOrderAtAllNodes places an order at all nodes concurrently.
func (d *deployment) placeOrderAtAllNodes(t *testing.T, key, body string) []reply {
	replies := make([]reply, len(d.nodes))
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() { replies[i] = d.placeOrder(t, i, key, body) })
	}
	wg.Wait()
	return replies
}

// checkEffects checks how often an order took effect, and that no attempt took effect twice.
func (d *deployment) checkEffects(t *testing.T, key string, want int) {
	t.Helper()
	e := d.effects(t)
	if n := e.ByKey[key]; n != want {
		t.Errorf("order %s took effect %d times, want %d", key, n, want)
	}
	for id, n := range e.ByAttempt {
		if n > 1 {
			t.Errorf("attempt %s took effect %d times", id, n)
		}
	}
}

func checkVerdict(t *testing.T, r reply, status int, v callers.ProblemVerdict) {
	t.Helper()
	if r.status != status || r.problem.Verdict != v {
		t.Errorf("%v, want status %d and verdict %s", r, status, v)
	}
}

// TestOrders checks that repeated orders take effect at most once when the order service
// or the store fails.
func TestOrders(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{})
	t.Run("repeat", d.repeatedOrder)
	t.Run("cut", d.orderWithCutResponse)
	t.Run("refused", d.refusedOrder)
	t.Run("store down", d.orderWithStoreDown)
	t.Run("store slow", func(t *testing.T) { d.placeOrdersWithFaults(t, "slow", memstore.Faults{Delay: 300 * time.Millisecond}) })
	t.Run("store loses answers", func(t *testing.T) {
		d.placeOrdersWithFaults(t, "lose", memstore.Faults{LoseAnswer: 0.5, Conflict: 0.2})
	})
}

// TestOrderOfKilledNode kills a node after it has claimed an order and before it has stored
// the outcome.
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
			newDeployment(t, deploymentOptions{}).orderOfKilledNode(t, c.faults, c.effects)
		})
	}
}

// repeatedOrder places orders with one idempotency key at all nodes concurrently, then
// again with a different body.
func (d *deployment) repeatedOrder(t *testing.T) {
	var first reply
	for i, r := range d.placeOrderAtAllNodes(t, "repeat", orderBody) {
		if i == 0 {
			first = r
		}
		if r.status != http.StatusCreated || r.body != first.body {
			t.Errorf("node %d: %v, want the same as %v", i, r, first)
		}
	}
	for _, r := range d.placeOrderAtAllNodes(t, "repeat", `{"plaque":"elm"}`) {
		checkVerdict(t, r, http.StatusUnprocessableEntity, callers.ProblemVerdictNotRun)
	}
	d.checkEffects(t, "repeat", 1)
}

// orderWithCutResponse cuts off the order service's response after the effect.
func (d *deployment) orderWithCutResponse(t *testing.T) {
	d.setDeskFaults(t, service.Faults{CutRate: 1})
	r := d.placeOrder(t, 0, "cut", orderBody)
	if r.problem.Verdict != callers.ProblemVerdictMayHaveRun {
		t.Errorf("%v, want verdict may-have-run", r)
	}
	d.setDeskFaults(t, service.Faults{})
	for _, r := range d.placeOrderAtAllNodes(t, "cut", orderBody) {
		checkVerdict(t, r, http.StatusConflict, callers.ProblemVerdictMayHaveRun)
	}
	d.checkEffects(t, "cut", 1)
}

// refusedOrder makes the order service refuse an order before any effect.
func (d *deployment) refusedOrder(t *testing.T) {
	d.setDeskFaults(t, service.Faults{RefuseRate: 1})
	r := d.placeOrder(t, 0, "refused", orderBody)
	if r.problem.Verdict != callers.ProblemVerdictNotRun || r.retryAfter == "" {
		t.Errorf("%v with Retry-After %q, want verdict not-run and a Retry-After", r, r.retryAfter)
	}
	d.checkEffects(t, "refused", 0)
	d.setDeskFaults(t, service.Faults{})
	d.awaitConfirmed(t, "refused")
	d.checkEffects(t, "refused", 1)
}

// awaitConfirmed repeats an order, at the nodes in turn, until it is confirmed. Each
// refusal must have the verdict not-run.
func (d *deployment) awaitConfirmed(t *testing.T, key string) {
	t.Helper()
	i := 0
	eventually(t, "order "+key, func() error {
		r := d.placeOrder(t, i, key, orderBody)
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

// orderWithStoreDown checks that orders are refused while their claims can't be stored.
func (d *deployment) orderWithStoreDown(t *testing.T) {
	d.setStoreFaults(t, memstore.Faults{Down: true})
	for _, r := range d.placeOrderAtAllNodes(t, "down", orderBody) {
		checkVerdict(t, r, http.StatusServiceUnavailable, callers.ProblemVerdictNotRun)
		if r.retryAfter == "" {
			t.Errorf("%v without Retry-After", r)
		}
	}
	d.checkEffects(t, "down", 0)
	d.setStoreFaults(t, memstore.Faults{})
	d.awaitConfirmed(t, "down")
	d.checkEffects(t, "down", 1)
}

// placeOrdersWithFaults places orders at all nodes concurrently, each twice, while the
// store has faults. No order may take effect more than once.
func (d *deployment) placeOrdersWithFaults(t *testing.T, prefix string, f memstore.Faults) {
	d.setStoreFaults(t, f)
	var wg sync.WaitGroup
	allReplies := make([][]reply, 12)
	for i := range allReplies {
		wg.Go(func() {
			key := fmt.Sprintf("%s-%d", prefix, i)
			allReplies[i] = append(d.placeOrderAtAllNodes(t, key, orderBody), d.placeOrderAtAllNodes(t, key, orderBody)...)
		})
	}
	wg.Wait()
	d.setStoreFaults(t, memstore.Faults{})
	ran := d.effects(t).ByKey
	for i, replies := range allReplies {
		key := fmt.Sprintf("%s-%d", prefix, i)
		confirmed, maybeRun := false, false
		for _, r := range replies {
			confirmed = confirmed || r.status == http.StatusCreated
			maybeRun = maybeRun || r.status != http.StatusCreated && r.problem.Verdict != callers.ProblemVerdictNotRun
		}
		if n := ran[key]; n > 1 || confirmed && n != 1 || !confirmed && !maybeRun && n > 0 {
			t.Errorf("order %s took effect %d times; its replies: %v", key, n, replies)
		}
		d.placeOrder(t, i, key, orderBody)
	}
	for key, n := range d.effects(t).ByKey {
		if n > 1 {
			t.Errorf("order %s took effect %d times", key, n)
		}
	}
}

// orderOfKilledNode kills a node after it has claimed an order and before it has stored the
// outcome, while the order service delays the order before its effect or the response after
// it. A delayed order may still take effect. Within the route's deadline callers must get
// the verdict may-have-run, and no repeat may run the order again.
func (d *deployment) orderOfKilledNode(t *testing.T, f service.Faults, effects int) {
	const key, node = "killed", 1
	dir := copyExample(t, "    require_key: true\n", "    require_key: true\n    deadline: 4s\n")
	runCommand(t, 0, "apply", "--platform", d.platform, dir)
	d.awaitRevision(t, int64(d.accepted(t).Revision))
	d.setDeskFaults(t, f)
	go func() { _, _, _ = sendOrder(d.nodes[node], key, orderBody) }()
	eventually(t, "the order at the order service", func() error {
		if st := d.deskStatus(t); st.Running == 0 || d.effects(t).ByKey[key] != effects {
			return fmt.Errorf("%+v", st)
		}
		return nil
	})
	d.nodeProc[node].kill()
	d.setDeskFaults(t, service.Faults{})
	d.checkMayHaveRun(t, key)
	d.startNode(t, node)
	eventually(t, "restarted node", checkReady(d.nodes[node]))
	d.checkMayHaveRun(t, key)
	if n := d.effects(t).ByKey[key]; n < effects || n > 1 {
		t.Errorf("order %s took effect %d times", key, n)
	}
}

// checkMayHaveRun repeats an order at all live nodes concurrently; each must respond with the
// verdict may-have-run.
func (d *deployment) checkMayHaveRun(t *testing.T, key string) {
	t.Helper()
	var wg sync.WaitGroup
	for i, p := range d.nodeProc {
		if p.alive() {
			wg.Go(func() {
				checkVerdict(t, d.placeOrder(t, i, key, orderBody), http.StatusConflict, callers.ProblemVerdictMayHaveRun)
			})
		}
	}
	wg.Wait()
}

func (d *deployment) deskStatus(t *testing.T) service.Status {
	t.Helper()
	var st service.Status
	getStatus(t, d.desk, &st)
	return st
}
