package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/demo"
	"github.com/jujubeshed/jujubeshed/internal/standin/engine"
)

// moveTemplate is the configuration file that moves the engine service to v2; its parameter is the finish time.
const moveTemplate = `moves:
  to-v2: {service: inscription, from: v1, to: v2, finish_by: %q, bake: 5s}
`

// moveDelay is the time for which the old version serves alone.
const moveDelay = 2 * time.Second

// move starts engines of a new version and requests the move to it.
func move(faults engine.Faults, finish time.Duration) func(context.Context, *demo.Site) error {
	return func(ctx context.Context, s *demo.Site) error {
		if err := s.AddEngines(4, "v2", faults); err != nil {
			return err
		}
		select {
		case <-time.After(moveDelay):
		case <-ctx.Done():
			return nil
		}
		return s.Apply(ctx, "40-move.yaml", fmt.Sprintf(moveTemplate, time.Now().Add(finish).UTC().Format(time.RFC3339)))
	}
}

func badMove() Experiment {
	return Experiment{
		Name: "move-bad", Usage: "a new version fails every third request", Speed: 4,
		Inject: move(engine.Faults{FailRate: 0.33}, time.Minute), After: printMoves,
	}
}

func goodMove() Experiment {
	return Experiment{
		Name: "move-good", Usage: "a fault-free new version has 30s to take over the traffic", Speed: 4,
		Inject: move(engine.Faults{}, 30*time.Second), After: printMoves,
	}
}

// printMoves writes the moves as the operators' API reports them.
func printMoves(ctx context.Context, w io.Writer, s *demo.Site) error {
	moves, err := s.Moves(ctx)
	for _, m := range moves {
		fmt.Fprintf(w, "move %s: %s at %.1f%%: %s; next: %s\n", m.Name, m.State, 100*m.Share, m.Reason, m.Next)
		for _, e := range m.Evidence {
			fmt.Fprintf(w, "  %s\n", e.Finding)
		}
	}
	return err
}
