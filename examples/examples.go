// Package examples holds the sample settings and templates of this folder,
// for the demonstration and for tests.
//
// # Usage
//
//	tpl, err := template.Parse("kedelsyn.toml", examples.Kedelsyn)
package examples

import _ "embed" // for the files below

var (
	// Kedelsyn is a template that gives wasted prefill more weight than goodput.
	//
	//go:embed kedelsyn.toml
	Kedelsyn []byte

	// HoaLua is a template that gives goodput more weight than wasted prefill.
	//
	//go:embed hoalua.toml
	HoaLua []byte

	// Entry holds the settings of one entry VM.
	//
	//go:embed entry.toml
	Entry []byte
)
