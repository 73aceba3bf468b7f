// Command quillrail is a gateway for functions loaded on demand: it takes calls and sends them to workers.
package main

import "quillrail/internal/app"

func main() { app.Main() }
