// Command quillrail-lab starts a fleet of gateways on loopback, surrounded by stubs: to try it by hand, or to measure it while faults
// are injected.
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
	program := &cli.StringFlag{Name: "program", Usage: "the gateway's program; by default quillrail in the folder of this program"}
	defaults := lab.Defaults
	return &cli.Command{
		Name:  "quillrail-lab",
		Usage: "a fleet of gateways on loopback, surrounded by stubs",
		Commands: []*cli.Command{
			{
				Name:  "up",
				Usage: "start a fleet, print its addresses and a call to try, and run until Ctrl-C",
				Flags: []cli.Flag{program,
					&cli.IntFlag{Name: "gateways", Value: defaults.Gateways, Usage: "1 to 250"},
					&cli.IntFlag{Name: "workers", Value: defaults.Workers, Usage: "1 to 250"},
					&cli.BoolFlag{Name: "fleet", Usage: "gateways form a fleet and store their state on disk"},
					&cli.BoolFlag{Name: "agree",
						Usage: "as --fleet, and gateways agree on drains, releases, freezes and restrictions; three of them are voters"},
					&cli.IntFlag{Name: "halls", Value: defaults.Halls, Usage: "1 to 8"},
				},
				Action: up,
			},
			scaleCommand(program),
			{
				Name:      "run",
				Usage:     "run an experiment and write its results as a table, JSON and SVG",
				ArgsUsage: "FILE.toml",
				Flags:     []cli.Flag{program, &cli.StringFlag{Name: "out", Value: ".", Usage: "folder for the results"}},
				Action:    run,
			},
		},
	}
}

// gatewayCommand returns the command that starts a gateway, with its arguments.
func gatewayCommand(c *cli.Command) ([]string, error) {
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

// withFleet starts a lab with all its gateways, calls use and closes the lab.
func withFleet(opts lab.Options, c *cli.Command, use func(*lab.Lab) error) (err error) {
	if opts.Program, err = gatewayCommand(c); err != nil {
		return err
	}
	if opts.Dir, err = os.MkdirTemp("", "quillrail-lab-"); err != nil {
		return err
	}
	defer os.RemoveAll(opts.Dir)
	l, err := lab.New(opts)
	if err != nil {
		return err
	}
	defer l.Close()
	if err := l.StartAll(); err != nil {
		return err
	}
	return use(l)
}

// up runs a fleet until SIGINT or SIGTERM.
func up(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	opts := lab.Options{Gateways: c.Int("gateways"), Workers: c.Int("workers"), Halls: c.Int("halls"), Fleet: c.Bool("fleet"),
		Seed: uint64(time.Now().UnixNano())}
	if c.Bool("agree") {
		opts.Fleet, opts.Voters = true, min(3, opts.Gateways-(opts.Gateways+1)%2)
	}
	return withFleet(opts, c, func(l *lab.Lab) error {
		out := c.Root().Writer
		for _, g := range l.Gateways {
			fmt.Fprintf(out, "%s takes calls at http://%s, operators at %s\n", g.Name, g.Addr, g.Process().OperatorAddr())
		}
		fmt.Fprintf(out, "%d workers in %d halls. Try:\n\n  %s\n\nCtrl-C ends it.\n", len(l.Workers), l.Halls, l.Gateways[0].Curl())
		<-ctx.Done()
		return nil
	})
}
