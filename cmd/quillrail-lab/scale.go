package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/pprof"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"quillrail/internal/lab/scale"
)

// scaleCommand returns the command for scale measurements.
func scaleCommand(program cli.Flag) *cli.Command {
	defaults := scale.Defaults
	return &cli.Command{
		Name:  "scale",
		Usage: "measure the cost of routers and of controlling a large fleet, up to the target's size, and write a table, JSON and plots",
		Flags: []cli.Flag{program,
			&cli.StringFlag{Name: "out", Value: ".", Usage: "folder for scale.json and the plots"},
			&cli.IntSliceFlag{Name: "gateways", Value: defaults.Gateways,
				Usage: "sizes of the fleet, growing; three gateways are real, the others hollow (without clients)"},
			&cli.IntSliceFlag{Name: "workers", Value: defaults.Workers, Usage: "sizes of a router's worker list"},
			&cli.IntSliceFlag{Name: "functions", Value: defaults.Functions, Usage: "numbers of functions that are called at a router"},
			&cli.DurationFlag{Name: "settle", Value: defaults.Settle, Usage: "pause before each measurement of a fleet"},
			&cli.DurationFlag{Name: "window", Value: defaults.Window, Usage: "length of the measurement of each size of the fleet"},
			&cli.IntFlag{Name: "changes", Value: defaults.Changes, Usage: "changes of configuration in each window"},
			&cli.DurationFlag{Name: "cut-for", Value: defaults.PartitionFor, Usage: "length of the partition of a region, 0 for none"},
			&cli.IntFlag{Name: "calls", Value: defaults.Calls, Usage: "calls of each router"},
			&cli.StringFlag{Name: "profile", Usage: "file for a profile of this process's processor time"},
			&cli.BoolFlag{Name: "routers-only", Usage: "don't measure fleets"},
		},
		Action: runScale,
	}
}

// runScale runs the measurements, prints them and writes scale.json and the plots.
func runScale(_ context.Context, c *cli.Command) (err error) {
	out, begun := c.Root().Writer, time.Now()
	opts := scale.Options{Seed: scale.Defaults.Seed, Gateways: c.IntSlice("gateways"), Workers: c.IntSlice("workers"),
		Functions: c.IntSlice("functions"), Settle: c.Duration("settle"), Window: c.Duration("window"), Changes: c.Int("changes"),
		PartitionFor: c.Duration("cut-for"), Calls: c.Int("calls"),
		Log: func(format string, a ...any) {
			fmt.Fprintf(out, "%6.1fs %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, a...))
		}}
	if c.Bool("routers-only") {
		opts.Gateways = nil
	}
	if opts.Program, err = gatewayCommand(c); err != nil {
		return err
	}
	if opts.Dir, err = os.MkdirTemp("", "quillrail-lab-"); err != nil {
		return err
	}
	defer os.RemoveAll(opts.Dir)
	if path := c.String("profile"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, os.Interrupt)
		go func() { <-interrupted; pprof.StopCPUProfile(); os.Exit(1) }()
	}
	r, runErr := scale.Run(opts)
	printScale(out, r)
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.String("out"), "scale.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	if err := plotScale(r, c.String("out")); err != nil {
		return err
	}
	return runErr
}

// printScale prints the measurements as tables.
func printScale(out io.Writer, r *scale.Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "\n%s\n\nrouter: workers\tfunctions\tlist ms\tlist MB\tfirst call us\tnext us\tafter a change us\tchange us\t"+
		"timer us\tcall us\tfunction KB\tcore at the target's rates\t\n", r.Machine)
	for _, x := range r.Routers {
		fmt.Fprintf(table, "%d\t%d\t%.1f\t%.1f\t%.0f\t%.1f\t%.0f\t%.0f\t%.1f\t%.0f\t%.1f\t%.1f %%\t\n", x.Workers, x.Functions, x.ListUs/1000,
			float64(x.ListBytes)/(1<<20), x.FirstUs, x.NextUs, x.AfterUs, x.ChangeUs, x.TimerUs, x.CallUs,
			float64(x.FunctionBytes)/1024, 100*x.CorePart)
	}
	table.Flush()
	if len(r.Fleets) > 0 {
		fmt.Fprintf(table, "\nfleet: gateways\tall know all after s\tcore\tMB\tsent B/s\treceived B/s\tin force ms: 50 %%\t99 %%\t100 %%\t"+
			"late changes\twrong suspicions\tlost\t\n")
		for _, x := range r.Fleets {
			fmt.Fprintf(table, "%d\t%.1f\t%.2f %%\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%d\t\n", x.Gateways, x.JoinMs/1000, 100*x.CorePart,
				x.MemoryMB, x.SentPerSec, x.ReceivedPerSec, x.InForceMs[0], x.InForceMs[1], x.InForceMs[2], x.LateChanges,
				x.WrongSuspicions, x.MessagesLost)
		}
		table.Flush()
		fmt.Fprintf(table, "\nreal gateways: fleet of\tname\tleads\tcore\tMB\tsent B/s\treceived B/s\t\n")
		for _, x := range r.Fleets {
			for _, v := range x.Voters {
				fmt.Fprintf(table, "%d\t%s\t%v\t%.1f %%\t%.1f\t%.0f\t%.0f\t\n", x.Gateways, v.Name, v.Leads, 100*v.CorePart, v.MemoryMB,
					v.SentPerSec, v.ReceivedPerSec)
			}
		}
		table.Flush()
	}
	for _, e := range r.Events {
		fmt.Fprintf(out, "%s (%d gateways): known after %.0f ms, over after %.0f ms, %.0f KB sent, %d wrong suspicions\n", e.What,
			e.Gateways, e.NoticedMs, e.HealedMs, e.Bytes/1024, e.WrongSuspicions)
	}
	for _, l := range r.Limits {
		fmt.Fprintln(out, "limited by the machine:", l)
	}
}
