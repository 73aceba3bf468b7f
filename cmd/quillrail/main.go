// Command quillrail is a gateway for functions that are loaded on demand: it accepts calls and sends them to workers.
package main

import "quillrail/internal/app"

func main() { app.Main() }
