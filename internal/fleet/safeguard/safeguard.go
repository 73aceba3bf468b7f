// Package safeguard lets tests take a guard out, to show that something breaks without it.
package safeguard

// Disabled names the guard that is out. Nothing but tests sets it, before anything runs.
var Disabled string

// Enabled reports whether a guard is in its place.
func Enabled(name string) bool { return Disabled != name }
