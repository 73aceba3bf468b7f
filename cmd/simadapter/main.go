// Command simadapter connects package decide to a simulator. It reads batches of events from standard input and answers each with
// the actions of package decide on standard output. It only converts between the line protocol and package decide.
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

// run answers batches until the end of the input. Its errors name the number of the invalid line.
func run(in io.Reader, out io.Writer) error {
	s := &session{out: bufio.NewWriterSize(out, 1<<16), in: bufio.NewReaderSize(in, 1<<16), instances: map[int]*instance{}}
	for {
		err := s.answerBatch()
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
