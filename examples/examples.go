// Package examples embeds the example tables.
//
// In each table the API key of organisation X is "dev-key-X", stored as its
// SHA-256 hash. The keys are for development only.
package examples

import (
	"embed"
	"io/fs"
)

//go:embed demo tesatoria kandy
var files embed.FS

// DevKey returns the development API key of an organisation.
func DevKey(organisation string) string { return "dev-key-" + organisation }

// Demo returns the table that the demo command publishes.
func Demo() fs.FS { return directory("demo") }

// Tesatoria returns the table of Țesătoria Mureșan & Fiii.
func Tesatoria() fs.FS { return directory("tesatoria") }

// Kandy returns the table of Kandy Rungs Manufacturing.
func Kandy() fs.FS { return directory("kandy") }

func directory(name string) fs.FS {
	dir, err := fs.Sub(files, name)
	if err != nil {
		panic("examples: " + err.Error()) // unreachable; the names are valid constants
	}
	return dir
}
