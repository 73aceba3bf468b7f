// Package app is the command line of the program: a gateway for functions loaded on demand.
package app

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap/zapcore"

	"quillrail/internal/lifecycle"
)

// Main runs the program with the arguments of the process, and ends it with 1 after an error, told in one line.
func Main() {
	if lifecycle.Version == "unknown" {
		lifecycle.Version = strings.Join(strings.Fields(version()), "+") // one word, as operators name it
	}
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "quillrail:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	level := &cli.StringFlag{Name: "log-level", Value: "info", Usage: "least level that is logged: debug, info, warn, error"}
	side := &cli.StringFlag{Name: "mqtt", Value: "deploy/mqtt.toml", Usage: "the file of the MQTT front and the flow export"}
	peers := &cli.StringFlag{Name: "fleet", Value: "deploy/fleet.toml", Usage: "the file of the fleet that this gateway is of"}
	return &cli.Command{
		Name:  "quillrail",
		Usage: "a gateway for functions loaded on demand",
		Commands: []*cli.Command{
			planCommand(),
			{
				Name:   "serve",
				Usage:  "serve calls as the configuration in $NODE_CONFIG says, until SIGTERM",
				Flags:  []cli.Flag{level, side, peers},
				Action: serve,
			},
			{
				Name:  "check-config",
				Usage: "read the configuration in $NODE_CONFIG and say what is wrong with it",
				Flags: []cli.Flag{side, peers},
				Action: func(_ context.Context, c *cli.Command) error {
					conf, err := lifecycle.FromEnv(c.String("mqtt"), c.String("fleet"))
					if err != nil {
						return err
					}
					if u := conf.Site.Unknown; len(u) > 0 {
						return fmt.Errorf("settings: not understood: %s", strings.Join(u, "; "))
					}
					_, err = fmt.Fprintf(c.Root().Writer, "%s: listens on %s, %d classes, %d tenants, event %d\n", conf.Name,
						conf.Listen, len(conf.Site.Classes), len(conf.Site.Tenants), conf.Last)
					if f := conf.Fleet; err == nil && f.Enabled {
						_, err = fmt.Fprintf(c.Root().Writer, "of the fleet %s at %s with %d seeds; what gateways tell each other is "+
							"neither secret nor signed: loopback and private nets only\n", f.Fleet, f.Bind, len(f.Seeds))
					}
					return err
				},
			},
			{
				Name:  "version",
				Usage: "print the version",
				Action: func(_ context.Context, c *cli.Command) error {
					_, err := fmt.Fprintln(c.Root().Writer, version())
					return err
				},
			},
		},
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	level, err := zapcore.ParseLevel(c.String("log-level"))
	if err != nil {
		return err
	}
	hup := make(chan os.Signal, 1) // before anything else: unhandled, the signal ends the process
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	conf, err := lifecycle.FromEnv(c.String("mqtt"), c.String("fleet"))
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE) // a log whose reader has gone is no reason to end
	log := newLogger(os.Stderr, level, conf.Name)
	defer log.Sync()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return lifecycle.Serve(ctx, conf, hup, log)
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "quillrail (unknown)"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value[:min(12, len(s.Value))]
		}
	}
	return "quillrail " + v + " " + info.GoVersion
}
