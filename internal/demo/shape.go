package demo

import (
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Shape describes the sizes and names of a deployment.
type Shape struct {
	// Name is the name of the example folder with the configuration.
	Name          string
	DataCentres   []ident.DataCentre
	EngineService ident.Service
	PlainService  ident.Service
	// Engines and Services are the numbers of engines and plain services, spread
	// over the data centres. Nodes is the number of nodes.
	Engines  int
	Services int
	Nodes    int
	// LongPath is the request path of long requests.
	LongPath string
	// LargeKey and SmallKey are the API keys of a large and a small workspace.
	LargeKey, SmallKey string
}

// Shapes returns the example deployments, reduced in size.
func Shapes() []Shape {
	return []Shape{
		{
			Name:          "kallergis",
			DataCentres:   []ident.DataCentre{"kalamaria", "pylaia", "evosmos", "thermi"},
			EngineService: "inscription", PlainService: "order-desk",
			Engines: 5, Services: 1, Nodes: 3,
			LongPath: "/drafts",
			LargeKey: "kallergis-desk-key", SmallKey: "kallergis-families-key",
		},
		{
			Name:          "kaptaan",
			DataCentres:   []ident.DataCentre{"sialkot-a", "sialkot-b", "lahore-a", "lahore-b"},
			EngineService: "boot-design", PlainService: "order-catalogue",
			Engines: 5, Services: 1, Nodes: 3,
			LongPath: "/designs",
			LargeKey: "kaptaan-studio-key", SmallKey: "kaptaan-shopkeepers-key",
		},
	}
}
