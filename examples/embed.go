// Package examples holds the example configurations that the program embeds.
package examples

import "embed"

// Files are the example folders, by name.
//
//go:embed kallergis/*.yaml kaptaan/*.yaml
var Files embed.FS
