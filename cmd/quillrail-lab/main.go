// Command quillrail-lab starts a fleet of gateways among stand-ins on loopback: to be tried by hand, or to be measured
// with faults between its parts.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"quillrail/internal/lab"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "quillrail-lab:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	program := &cli.StringFlag{Name: "program", Usage: "the gateway's program; without it the one beside this one"}
	d := lab.Defaults
	return &cli.Command{
		Name:  "quillrail-lab",
		Usage: "a fleet of gateways among stand-ins on loopback",
		Commands: []*cli.Command{
			{
				Name:  "up",
				Usage: "start a fleet, print its addresses and a call to try, and run until Ctrl-C",
				Flags: []cli.Flag{program,
					&cli.IntFlag{Name: "gateways", Value: d.Gateways, Usage: "1 to 250"},
					&cli.IntFlag{Name: "workers", Value: d.Workers, Usage: "1 to 250"},
					&cli.BoolFlag{Name: "fleet", Usage: "gateways know each other and keep their state on disk"},
					&cli.BoolFlag{Name: "agree", Usage: "and agree on drains, releases, freezes and restrictions; three of them hold the log"},
					&cli.IntFlag{Name: "halls", Value: d.Halls, Usage: "1 to 8"},
				},
				Action: up,
			},
			scaleCommand(program),
			{
				Name:      "run",
				Usage:     "play an experiment and write its figures as a table, JSON and SVG",
				ArgsUsage: "FILE.toml",
				Flags:     []cli.Flag{program, &cli.StringFlag{Name: "out", Value: ".", Usage: "folder for the results"}},
				Action:    run,
			},
		},
	}
}

// gateway returns the command that starts a gateway.
func gateway(c *cli.Command) ([]string, error) {
	path := c.String("program")
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		path = filepath.Join(filepath.Dir(self), "quillrail")
	}
	path, err := filepath.Abs(path)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("the gateway's program: %w", err)
	}
	return []string{path, "serve", "--mqtt", "none"}, nil
}

// with has a fleet up while f runs.
func with(o lab.Options, c *cli.Command, f func(*lab.Lab) error) (err error) {
	if o.Program, err = gateway(c); err != nil {
		return err
	}
	if o.Dir, err = os.MkdirTemp("", "quillrail-lab-"); err != nil {
		return err
	}
	defer os.RemoveAll(o.Dir)
	l, err := lab.New(o)
	if err != nil {
		return err
	}
	defer l.Close()
	if err := l.StartAll(); err != nil {
		return err
	}
	return f(l)
}

func up(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	o := lab.Options{Gateways: c.Int("gateways"), Workers: c.Int("workers"), Halls: c.Int("halls"), Fleet: c.Bool("fleet"), Seed: uint64(time.Now().UnixNano())}
	if c.Bool("agree") {
		o.Fleet, o.Voters = true, min(3, o.Gateways-(o.Gateways+1)%2)
	}
	return with(o, c, func(l *lab.Lab) error {
		out := c.Root().Writer
		for _, g := range l.Gateways {
			fmt.Fprintf(out, "%s takes calls at http://%s, operators at %s\n", g.Name, g.Addr, g.Process().Operator())
		}
		fmt.Fprintf(out, "%d workers in %d halls. Try:\n\n  %s\n\nCtrl-C ends it.\n", len(l.Workers), l.Halls, l.Gateways[0].Curl())
		<-ctx.Done()
		return nil
	})
}
