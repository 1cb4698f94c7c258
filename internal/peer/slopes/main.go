// Command slopes measures how fast marks spread between nodes and what the
// membership costs a node, at several sizes, and fits the slopes.
//
// The nodes run over a virtual clock with fixed seeds; only processor time and
// memory depend on the machine. The wire part runs two services over loopback.
package main

import (
	"flag"
	"fmt"
	"io"
	"log"
	"log/slog"
	"os"
)

func main() {
	part := flag.String("part", "spread", "what to measure: spread, wave, cost, detail or wire")
	nodes := flag.Int("nodes", 64, "fleet of the spread: 8, 64, 256 or 710")
	loss := flag.Int("loss", -1, "loss in the spread, per cent; below zero: 0, 5 and 20")
	notices := flag.Int("notices", 20, "notices in each case of the spread")
	flag.Parse()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	out := os.Stdout
	switch *part {
	case "spread":
		spread(out, *nodes, *notices, *loss)
	case "wave":
		wave(out)
	case "cost":
		cost(out)
	case "detail":
		detail(out)
	case "wire":
		if err := wire(out); err != nil {
			log.Fatal(err)
		}
	default:
		log.Fatalf("part %q is not one of spread, wave, cost, detail, wire", *part)
	}
}

// row prints one row of a table.
func row(w io.Writer, cells ...any) {
	fmt.Fprint(w, "|")
	for _, c := range cells {
		if f, ok := c.(float64); ok {
			c = fmt.Sprintf("%.2f", f)
		}
		fmt.Fprintf(w, " %v |", c)
	}
	fmt.Fprintln(w)
}

// head prints the head of a table.
func head(w io.Writer, names ...any) {
	row(w, names...)
	rule := make([]any, len(names))
	for i := range rule {
		rule[i] = "---"
	}
	row(w, rule...)
}
