// Stand-ins and checks of the cases of the second review: clients, workers, bulletins and a broker, on loopback, around gateways that
// are started as the deploy file says.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases holds what run.sh of the folders 6 to 10 starts, and the further looks that the report names.
var cases = map[string]func(*rig) (summary string, err error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-2 CASE ROOT FOLDER")
		os.Exit(2)
	}
	r, err := newRig(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	go func() {
		time.Sleep(115 * time.Second)
		fmt.Println("out of time")
		r.close()
		os.Exit(2)
	}()
	summary, err := cases[os.Args[1]](r)
	if err != nil {
		fmt.Println("could not run:", err)
		r.logf("could not run: %v", err)
		r.close()
		os.Exit(2)
	}
	code := r.verdict(summary)
	r.close()
	os.Exit(code)
}
