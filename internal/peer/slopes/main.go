// Command slopes measures how fast marks spread between nodes and what the membership
// protocol costs a node, for several fleet sizes. It fits lines to the cost, so that it
// can be extrapolated to other sizes.
//
// The nodes run on a virtual clock with fixed seeds; only CPU time and memory depend on
// the machine. The wire part runs two services over the loopback interface.
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
	nodes := flag.Int("nodes", 64, "number of nodes for spread: 8, 64, 256 or 710")
	loss := flag.Int("loss", -1, "message loss for spread, per cent; negative: 0, 5 and 20 in turn")
	notices := flag.Int("notices", 20, "number of notices in each case of spread")
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

// printRow prints one row of a Markdown table.
func printRow(w io.Writer, cells ...any) {
	fmt.Fprint(w, "|")
	for _, c := range cells {
		if f, ok := c.(float64); ok {
			c = fmt.Sprintf("%.2f", f)
		}
		fmt.Fprintf(w, " %v |", c)
	}
	fmt.Fprintln(w)
}

// printHeader prints the header of a Markdown table.
func printHeader(w io.Writer, names ...any) {
	printRow(w, names...)
	separator := make([]any, len(names))
	for i := range separator {
		separator[i] = "---"
	}
	printRow(w, separator...)
}
