// Package operator serves the operators' API of a node.
package operator

import (
	"context"
	"net/http"

	"github.com/jujubeshed/jujubeshed/api/gen/operators"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Source provides a node's view of the fleet.
type Source interface {
	Status(ctx context.Context) (*operators.Status, error)
	Moves(ctx context.Context) ([]operators.Move, error)
	Unconfirmed(ctx context.Context) ([]operators.UnconfirmedOrder, error)
}

// Handler implements the operations of the operators' API.
type Handler struct {
	source Source
}

var _ operators.Handler = (*Handler)(nil)

// New returns the HTTP handler of the operators' API.
func New(source Source) (http.Handler, error) {
	return operators.NewServer(&Handler{source: source})
}

// GetStatus returns the node's view of the fleet and the total number of invariant
// violations.
func (h *Handler) GetStatus(ctx context.Context) (*operators.Status, error) {
	st, err := h.source.Status(ctx)
	if err != nil {
		return nil, err
	}
	for _, n := range invariant.Counts() {
		st.InvariantViolations += int64(n)
	}
	return st, nil
}

// GetMoves returns the version moves.
func (h *Handler) GetMoves(ctx context.Context) (*operators.MoveList, error) {
	moves, err := h.source.Moves(ctx)
	if err != nil {
		return nil, err
	}
	return &operators.MoveList{Moves: moves}, nil
}

// GetUnconfirmedOrders returns the orders whose outcome is not recorded.
func (h *Handler) GetUnconfirmedOrders(ctx context.Context) (*operators.OrderList, error) {
	orders, err := h.source.Unconfirmed(ctx)
	if err != nil {
		return nil, err
	}
	return &operators.OrderList{Orders: orders}, nil
}

// NewError converts an error to a problem document with status 503.
func (h *Handler) NewError(_ context.Context, err error) *operators.ProblemStatusCode {
	e := verdict.From(err)
	p := operators.Problem{
		Title:   "The call failed.",
		Status:  http.StatusServiceUnavailable,
		Code:    string(e.Code),
		Verdict: operators.ProblemVerdict(e.Verdict.String()),
	}
	p.Detail.SetTo(err.Error())
	return &operators.ProblemStatusCode{StatusCode: p.Status, Response: p}
}
