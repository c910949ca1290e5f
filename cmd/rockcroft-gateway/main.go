// Command rockcroft-gateway serves callers on the users' platform.
package main

import (
	"context"
	"log/slog"
	"os"

	"github.com/rockcroft/rockcroft/gateway"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/process"
	"github.com/rockcroft/rockcroft/state/settings"
)

func main() {
	conf := settings.DefaultGateway()
	os.Exit(process.Daemon{
		Use:      "rockcroft-gateway",
		Short:    "Serve callers in front of upstreams that own keys",
		Settings: &conf,
		Path:     platform.SettingsPath(),
		Run: func(ctx context.Context) error {
			log := slog.New(slog.NewTextHandler(os.Stdout, nil))
			open, err := gateway.Listen(conf)
			if err != nil {
				return err
			}
			return gateway.New(conf, open, log).Run(ctx)
		},
	}.Main())
}
