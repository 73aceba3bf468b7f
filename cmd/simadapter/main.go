// Command simadapter lets the decision module play on the simulator's wire: batches of events on standard
// input, one reply of actions for each on standard output. It parses and prints; it decides nothing.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the end of input. An error names the line at fault.
func run(in io.Reader, out io.Writer) error {
	s := &session{out: bufio.NewWriterSize(out, 1<<16), in: bufio.NewReaderSize(in, 1<<16), routers: map[int]*instance{}}
	for {
		err := s.batch()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", s.line, err)
		}
		if err := s.out.Flush(); err != nil {
			return err
		}
	}
}
