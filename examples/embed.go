// Package examples embeds the example configurations in the program.
package examples

import "embed"

// Files contains one directory per example.
//
//go:embed kallergis/*.yaml kaptaan/*.yaml
var Files embed.FS
