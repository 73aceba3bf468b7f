// Package guard lets tests take a guard out, to show that something breaks without it.
package guard

// Off names the guard that is out. Nothing but tests sets it, before anything runs.
var Off string

// On reports whether a guard is in its place.
func On(name string) bool { return Off != name }
