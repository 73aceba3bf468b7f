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
	exitNoPlan = 2 // no plan exists
	exitTime   = 3 // none found in time
	exitDiffer = 4 // diff: there is something to do
)

func planCommand() *cli.Command {
	limit := &cli.DurationFlag{Name: "limit", Value: time.Second, Usage: "how long to search"}
	steps := &cli.Int64Flag{Name: "steps", Usage: "search for so many steps instead, for the same result on any machine"}
	asJSON := &cli.BoolFlag{Name: "json", Usage: "print JSON"}
	command := func(name, usage string, flags []cli.Flag, do func(c *cli.Command, p *plan.Problem) error) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, ArgsUsage: "FILE", Flags: flags,
			Action: func(_ context.Context, c *cli.Command) error {
				p, err := readProblem(c.Args().First())
				if err != nil {
					return err
				}
				return do(c, p)
			}}
	}
	solve := func(c *cli.Command, p *plan.Problem) (*plan.Plan, error) {
		o := plan.Options{Steps: c.Int64("steps")}
		if o.Steps == 0 {
			o.Clock, o.Limit = func() time.Duration { return time.Duration(time.Now().UnixNano()) }, c.Duration("limit")
			o.Steps = int64(c.Duration("limit").Seconds() * 300_000_000)
		}
		r := plan.Solve(p, o)
		return r, plan.Verify(p, r)
	}
	return &cli.Command{
		Name:  "plan",
		Usage: "work out where copies of models should stand; FILE is TOML, or JSON if it ends in .json",
		Commands: []*cli.Command{
			command("check", "read the problem and say what is wrong with it", nil, func(c *cli.Command, p *plan.Problem) error {
				_, err := fmt.Fprintf(c.Root().Writer, "%d workers, %d models, %d copies present\n", len(p.Workers), len(p.Models),
					len(p.Present))
				return err
			}),
			command("solve", "print the copies, shares and moves of the best plan", []cli.Flag{limit, steps, asJSON},
				func(c *cli.Command, p *plan.Problem) error {
					r, err := solve(c, p)
					if err != nil {
						return err
					}
					if c.Bool("json") {
						return finish(r, writeJSON(c.Root().Writer, r))
					}
					return finish(r, printPlan(c.Root().Writer, r, true))
				}),
			command("explain", "print what the best plan is worth and what it costs, or why there is none", []cli.Flag{limit, steps},
				func(c *cli.Command, p *plan.Problem) error {
					r, err := solve(c, p)
					if err != nil {
						return err
					}
					return finish(r, explain(c.Root().Writer, p, r))
				}),
			command("diff", "print the loads and unloads that lead to the best plan; exit code 4 if there are any",
				[]cli.Flag{limit, steps, asJSON}, func(c *cli.Command, p *plan.Problem) error {
					r, err := solve(c, p)
					if err != nil {
						return err
					}
					if c.Bool("json") {
						err = writeJSON(c.Root().Writer, r.Moves)
					} else {
						for _, m := range r.Moves {
							fmt.Fprintln(c.Root().Writer, m.Do, m.Model, m.Worker)
						}
					}
					if err = finish(r, err); err == nil && len(r.Moves) > 0 {
						return cli.Exit("", exitDiffer)
					}
					return err
				}),
		},
	}
}

// finish turns a verdict into an exit code, once what there is to say is printed.
func finish(r *plan.Plan, err error) error {
	switch {
	case err != nil:
		return err
	case r.Verdict == plan.None:
		return cli.Exit(r.Verdict, exitNoPlan)
	case r.Verdict == plan.Unknown:
		return cli.Exit(r.Verdict, exitTime)
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
	p, err := read(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func printPlan(out io.Writer, r *plan.Plan, all bool) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "verdict\t%s\n", r.Verdict)
	for _, name := range r.Conflict {
		fmt.Fprintf(w, "conflict\t%s\n", name)
	}
	if r.Verdict != plan.Optimal && r.Verdict != plan.Best {
		return w.Flush()
	}
	fmt.Fprintf(w, "score\t%d\nbound\t%d\n", r.Score, r.Bound)
	if !all {
		return w.Flush()
	}
	for _, k := range r.Copies {
		fmt.Fprintf(w, "copy\t%s\t%s\n", k.Model, k.Worker)
	}
	for _, s := range r.Shares {
		fmt.Fprintf(w, "share\t%s\t%s\t%s from %s\t%d mcores\n", s.Model, s.Worker, s.Class, s.Hall, s.Mcores)
	}
	for _, m := range r.Moves {
		fmt.Fprintf(w, "%s\t%s\t%s\n", m.Do, m.Model, m.Worker)
	}
	return w.Flush()
}

// explain says where the points come from and what is not served.
func explain(out io.Writer, p *plan.Problem, r *plan.Plan) error {
	if err := printPlan(out, r, false); err != nil || r.Verdict != plan.Optimal && r.Verdict != plan.Best {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "worth of the work served\t%d\n", r.Price.Worth)
	fmt.Fprintf(w, "less crossings of halls\t%d\n", r.Price.Cross)
	fmt.Fprintf(w, "less memory held\t%d\n", r.Price.Memory)
	fmt.Fprintf(w, "less load time\t%d\n", r.Price.Load)
	fmt.Fprintf(w, "less copies moved\t%d\n", r.Price.Move)
	type demand struct{ model, class, hall string }
	served := map[demand]int64{}
	for _, s := range r.Shares {
		served[demand{s.Model, s.Class, s.Hall}] += s.Mcores
	}
	for _, m := range p.Models {
		for _, d := range m.Calls {
			if left := d.Mcores - served[demand{m.ID, d.Class, d.Hall}]; left > 0 {
				fmt.Fprintf(w, "not served: %s of %s from %s\t%d of %d mcores\n", d.Class, m.ID, d.Hall, left, d.Mcores)
			}
		}
	}
	return w.Flush()
}
