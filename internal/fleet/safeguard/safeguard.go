// Package safeguard lets tests disable a single safeguard of the fleet code, to show what fails without it.
package safeguard

// Disabled is the name of the disabled safeguard, "" for none. Only tests set it, before any other code runs.
var Disabled string

// Enabled reports whether the safeguard of that name is in effect.
func Enabled(name string) bool { return Disabled != name }
