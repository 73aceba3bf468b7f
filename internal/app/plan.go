package app

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"quillrail/internal/plan"
)

// The exit codes of the plan commands besides 0 and 1.
const (
	exitNoPlan    = 2 // no plan exists
	exitTimeout   = 3 // no plan found in time
	exitDifferent = 4 // diff: the best plan needs loads or unloads
)

func planCommand() *cli.Command {
	limit := &cli.DurationFlag{Name: "limit", Value: time.Second, Usage: "time limit of the search"}
	steps := &cli.Int64Flag{Name: "steps", Usage: "number of search steps instead of a time limit, for the same result on any machine"}
	asJSON := &cli.BoolFlag{Name: "json", Usage: "print JSON"}
	command := func(name, usage string, flags []cli.Flag, run func(c *cli.Command, problem *plan.Problem) error) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, ArgsUsage: "FILE", Flags: flags,
			Action: func(_ context.Context, c *cli.Command) error {
				problem, err := readProblem(c.Args().First())
				if err != nil {
					return err
				}
				return run(c, problem)
			}}
	}
	solve := func(c *cli.Command, problem *plan.Problem) (*plan.Plan, error) {
		options := plan.Options{MaxSteps: c.Int64("steps")}
		if options.MaxSteps == 0 {
			options.Clock, options.TimeLimit = func() time.Duration { return time.Duration(time.Now().UnixNano()) }, c.Duration("limit")
			options.MaxSteps = int64(c.Duration("limit").Seconds() * 300_000_000) // at about 300 million steps a second
		}
		result := plan.Solve(problem, options)
		return result, plan.Verify(problem, result)
	}
	return &cli.Command{
		Name:  "plan",
		Usage: "compute on which workers copies of models should be loaded; FILE is TOML, or JSON if its name ends in .json",
		Commands: []*cli.Command{
			command("check", "check the problem and print what is wrong with it", nil, func(c *cli.Command, problem *plan.Problem) error {
				_, err := fmt.Fprintf(c.Root().Writer, "%d workers, %d models, %d copies present\n", len(problem.Workers), len(problem.Models),
					len(problem.Present))
				return err
			}),
			command("solve", "print the copies, shares and moves of the best plan", []cli.Flag{limit, steps, asJSON},
				func(c *cli.Command, problem *plan.Problem) error {
					result, err := solve(c, problem)
					if err != nil {
						return err
					}
					if c.Bool("json") {
						return verdictError(result, writeJSON(c.Root().Writer, result))
					}
					return verdictError(result, printPlan(c.Root().Writer, result, true))
				}),
			command("explain", "print the value and the costs of the best plan, or why there is none", []cli.Flag{limit, steps},
				func(c *cli.Command, problem *plan.Problem) error {
					result, err := solve(c, problem)
					if err != nil {
						return err
					}
					return verdictError(result, explain(c.Root().Writer, problem, result))
				}),
			command("diff", "print the loads and unloads that lead to the best plan; exit code 4 if there are any",
				[]cli.Flag{limit, steps, asJSON}, func(c *cli.Command, problem *plan.Problem) error {
					result, err := solve(c, problem)
					if err != nil {
						return err
					}
					if c.Bool("json") {
						err = writeJSON(c.Root().Writer, result.Moves)
					} else {
						for _, move := range result.Moves {
							fmt.Fprintln(c.Root().Writer, move.Do, move.Model, move.Worker)
						}
					}
					if err = verdictError(result, err); err == nil && len(result.Moves) > 0 {
						return cli.Exit("", exitDifferent)
					}
					return err
				}),
		},
	}
}

// verdictError returns err, or else an error with the exit code of the plan's verdict. It is called once the output is printed.
func verdictError(result *plan.Plan, err error) error {
	switch {
	case err != nil:
		return err
	case result.Verdict == plan.NoPlan:
		return cli.Exit(result.Verdict, exitNoPlan)
	case result.Verdict == plan.NoneFound:
		return cli.Exit(result.Verdict, exitTimeout)
	}
	return nil
}

func readProblem(path string) (*plan.Problem, error) {
	if path == "" {
		return nil, fmt.Errorf("a file is needed")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	read := plan.ReadTOML
	if filepath.Ext(path) == ".json" {
		read = plan.ReadJSON
	}
	problem, err := read(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return problem, nil
}

func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printPlan(out io.Writer, result *plan.Plan, withPlacement bool) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "verdict\t%s\n", result.Verdict)
	for _, name := range result.Conflict {
		fmt.Fprintf(table, "conflict\t%s\n", name)
	}
	if result.Verdict != plan.Optimal && result.Verdict != plan.BestFound {
		return table.Flush()
	}
	fmt.Fprintf(table, "score\t%d\nbound\t%d\n", result.Score, result.Bound)
	if !withPlacement {
		return table.Flush()
	}
	for _, loaded := range result.Copies {
		fmt.Fprintf(table, "copy\t%s\t%s\n", loaded.Model, loaded.Worker)
	}
	for _, share := range result.Shares {
		fmt.Fprintf(table, "share\t%s\t%s\t%s from %s\t%d mcores\n", share.Model, share.Worker, share.Class, share.Hall, share.Mcores)
	}
	for _, move := range result.Moves {
		fmt.Fprintf(table, "%s\t%s\t%s\n", move.Do, move.Model, move.Worker)
	}
	return table.Flush()
}

// explain prints how the plan's score is composed and which calls it doesn't serve.
func explain(out io.Writer, problem *plan.Problem, result *plan.Plan) error {
	if err := printPlan(out, result, false); err != nil || result.Verdict != plan.Optimal && result.Verdict != plan.BestFound {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "worth of the work served\t%d\n", result.Breakdown.Worth)
	fmt.Fprintf(table, "less crossings of halls\t%d\n", result.Breakdown.Cross)
	fmt.Fprintf(table, "less memory held\t%d\n", result.Breakdown.Memory)
	fmt.Fprintf(table, "less load time\t%d\n", result.Breakdown.Load)
	fmt.Fprintf(table, "less copies moved\t%d\n", result.Breakdown.Move)
	type demand struct{ model, class, hall string }
	served := map[demand]int64{}
	for _, share := range result.Shares {
		served[demand{share.Model, share.Class, share.Hall}] += share.Mcores
	}
	for _, model := range problem.Models {
		for _, calls := range model.Calls {
			if unserved := calls.Mcores - served[demand{model.ID, calls.Class, calls.Hall}]; unserved > 0 {
				fmt.Fprintf(table, "not served: %s of %s from %s\t%d of %d mcores\n", calls.Class, model.ID, calls.Hall, unserved,
					calls.Mcores)
			}
		}
	}
	return table.Flush()
}
