package load

import (
	"bytes"
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Size of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 3.5 * vg.Inch
)

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>load report</title>
<style>body{font-family:sans-serif;margin:2em}pre{overflow-x:auto}svg{max-width:100%;height:auto}</style></head>
<body><h1>Load report</h1><pre>{{.Table}}</pre>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
</body></html>
`))

// figure is one plot in the HTML report.
type figure struct {
	Title string
	SVG   template.HTML
}

// WriteHTML writes the report as a self-contained HTML page with plots.
func (r *Report) WriteHTML(w io.Writer) error {
	var table bytes.Buffer
	if err := r.WriteTable(&table); err != nil {
		return err
	}
	data := struct {
		Table string
		Plots []figure
	}{Table: table.String()}
	for _, p := range []struct {
		title string
		fill  func(*plot.Plot) error
	}{
		{"Time to the first token", r.plotQuantiles(func(h *histograms) *hdrhistogram.Histogram { return h.firstToken })},
		{"Time between tokens", r.plotQuantiles(func(h *histograms) *hdrhistogram.Histogram { return h.betweenTokens })},
		{"Total time", r.plotQuantiles(func(h *histograms) *hdrhistogram.Histogram { return h.total })},
		{"Requests by second of arrival", r.plotOutcomes},
		{"First token of quick chats by second of arrival", r.plotFirstTokens},
	} {
		f, err := render(p.title, p.fill)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, f)
	}
	return pageTemplate.Execute(w, data)
}

func render(title string, fill func(*plot.Plot) error) (figure, error) {
	p := plot.New()
	p.Legend.Top = true
	p.Legend.Left = true
	if err := fill(p); err != nil {
		return figure{}, err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return figure{}, err
	}
	_, svg, _ := bytes.Cut(b.Bytes(), []byte("<svg")) // drops the XML prologue
	return figure{Title: title, SVG: template.HTML("<svg" + string(svg))}, nil
}

// plotQuantiles returns a function that plots the latency distribution of each class.
func (r *Report) plotQuantiles(pick func(*histograms) *hdrhistogram.Histogram) func(*plot.Plot) error {
	return func(p *plot.Plot) error {
		p.X.Label.Text, p.Y.Label.Text = "ms", "% of complete responses"
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		p.Y.Min, p.Y.Max = 0, 100
		p.X.Min, p.X.Max = 1, 10
		var lines []any
		for _, c := range ident.Classes {
			h, ok := r.byClass[c]
			if !ok || pick(h).TotalCount() == 0 {
				continue
			}
			var points plotter.XYs
			for q := 0.0; q <= 100; q++ {
				micros := max(pick(h).ValueAtQuantile(q), minMicros)
				points = append(points, plotter.XY{X: float64(micros) / 1000, Y: q})
			}
			lines = append(lines, c.String(), points)
		}
		return plotutil.AddLines(p, lines...)
	}
}

func (r *Report) plotOutcomes(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "s", "requests"
	line := func(pick func(secondCounts) int) plotter.XYs {
		points := plotter.XYs{{}}
		for i, s := range r.seconds {
			points = append(points, plotter.XY{X: float64(i + 1), Y: float64(pick(s))})
		}
		return points
	}
	return plotutil.AddLines(p,
		"sent", line(func(s secondCounts) int { return s.sent }),
		"whole", line(func(s secondCounts) int { return s.complete }),
		"refused", line(func(s secondCounts) int { return s.refused }),
		"failed", line(func(s secondCounts) int { return s.failed }))
}

func (r *Report) plotFirstTokens(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "s", "ms"
	line := func(q float64) plotter.XYs {
		points := plotter.XYs{{}}
		for i, s := range r.seconds {
			if len(s.firstTokens) > 0 {
				points = append(points, plotter.XY{X: float64(i + 1), Y: float64(quantile(s.firstTokens, q)) / float64(time.Millisecond)})
			}
		}
		return points
	}
	return plotutil.AddLines(p, "p50", line(0.5), "p95", line(0.95), "max", line(1))
}

// quantile returns the q-quantile of times. It sorts times in place.
func quantile(times []time.Duration, q float64) time.Duration {
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}
