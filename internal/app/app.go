// Package app is the command line of quillrail, a gateway for functions that are loaded on demand.
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

// Main runs the program with the arguments of the process. After an error it prints one line and exits with code 1.
func Main() {
	if lifecycle.Version == "unknown" {
		lifecycle.Version = strings.Join(strings.Fields(version()), "+") // one word, since it is an argument of operators' commands
	}
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "quillrail:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	level := &cli.StringFlag{Name: "log-level", Value: "info", Usage: "lowest level that is logged: debug, info, warn or error"}
	mqttFile := &cli.StringFlag{Name: "mqtt", Value: "deploy/mqtt.toml", Usage: "configuration file of the MQTT front and the flow export"}
	fleetFile := &cli.StringFlag{Name: "fleet", Value: "deploy/fleet.toml", Usage: "configuration file of the fleet that this gateway is in"}
	return &cli.Command{
		Name:  "quillrail",
		Usage: "a gateway for functions that are loaded on demand",
		Commands: []*cli.Command{
			planCommand(),
			{
				Name:   "serve",
				Usage:  "serve calls with the configuration file named by $NODE_CONFIG, until SIGTERM",
				Flags:  []cli.Flag{level, mqttFile, fleetFile},
				Action: serve,
			},
			{
				Name:  "check-config",
				Usage: "check the configuration file named by $NODE_CONFIG and print what is wrong with it",
				Flags: []cli.Flag{mqttFile, fleetFile},
				Action: func(_ context.Context, c *cli.Command) error {
					conf, err := lifecycle.FromEnv(c.String("mqtt"), c.String("fleet"))
					if err != nil {
						return err
					}
					if unknown := conf.Site.Unknown; len(unknown) > 0 {
						return fmt.Errorf("settings: not understood: %s", strings.Join(unknown, "; "))
					}
					_, err = fmt.Fprintf(c.Root().Writer, "%s: listens on %s, %d classes, %d tenants, event %d\n", conf.Name,
						conf.Listen, len(conf.Site.Classes), len(conf.Site.Tenants), conf.LastEvent)
					if fleet := conf.Fleet; err == nil && fleet.Enabled {
						_, err = fmt.Fprintf(c.Root().Writer, "fleet %s: bound to %s, %d seeds; messages between gateways are "+
							"neither encrypted nor signed: use loopback or private networks only\n", fleet.Fleet, fleet.Bind, len(fleet.Seeds))
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
	hup := make(chan os.Signal, 1) // first of all, since SIGHUP ends a process that does not handle it
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	conf, err := lifecycle.FromEnv(c.String("mqtt"), c.String("fleet"))
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE) // a closed reader of the log must not end the process
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
	text := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value[:min(12, len(setting.Value))]
		}
	}
	return "quillrail " + text + " " + info.GoVersion
}
