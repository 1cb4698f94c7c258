package demo

import (
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Shape is the size and naming of a deployment.
type Shape struct {
	// Name of the example folder with its configuration.
	Name        string
	DataCentres []ident.DataCentre
	Engine      ident.Service
	Plain       ident.Service
	// Engines and Desks are the numbers of endpoints, spread over the data centres.
	Engines int
	Desks   int
	Nodes   int
	// LongPath is the route of long requests.
	LongPath string
	// Keys of a large workspace and a small one.
	LargeKey, SmallKey string
}

// Shapes returns the example deployments, cut down.
func Shapes() []Shape {
	return []Shape{
		{
			Name:        "kallergis",
			DataCentres: []ident.DataCentre{"kalamaria", "pylaia", "evosmos", "thermi"},
			Engine:      "inscription", Plain: "order-desk",
			Engines: 5, Desks: 1, Nodes: 3,
			LongPath: "/drafts",
			LargeKey: "kallergis-desk-key", SmallKey: "kallergis-families-key",
		},
		{
			Name:        "kaptaan",
			DataCentres: []ident.DataCentre{"sialkot-a", "sialkot-b", "lahore-a", "lahore-b"},
			Engine:      "boot-design", Plain: "order-catalogue",
			Engines: 5, Desks: 1, Nodes: 3,
			LongPath: "/designs",
			LargeKey: "kaptaan-studio-key", SmallKey: "kaptaan-shopkeepers-key",
		},
	}
}
