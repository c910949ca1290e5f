// Command rockcroft-gateway serves callers on the users' platform.
package main

import (
	"context"
	"os"
	"time"

	"github.com/rockcroft/rockcroft/gateway"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/process"
	"github.com/rockcroft/rockcroft/state/settings"
	"github.com/rockcroft/rockcroft/transport/eventlog"
)

func main() {
	conf := settings.DefaultGateway()
	os.Exit(process.Daemon{
		Use:      "rockcroft-gateway",
		Short:    "Serve callers in front of upstreams that own keys",
		Settings: &conf,
		Path:     platform.SettingsPath(),
		Run: func(ctx context.Context) error {
			lines := eventlog.New(time.Now)
			writing, stop := context.WithCancel(context.Background())
			written := make(chan struct{})
			go func() {
				defer close(written)
				lines.Run(writing, os.Stdout)
			}()
			defer func() {
				stop()
				<-written
			}()
			open, err := gateway.Listen(conf)
			if err != nil {
				return err
			}
			return gateway.New(conf, open, lines).Run(ctx)
		},
	}.Main())
}
