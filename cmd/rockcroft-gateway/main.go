// Command rockcroft-gateway runs a gateway, which serves callers in front of upstreams that own
// keys, on the users' platform.
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
			events := eventlog.New(time.Now)
			writerCtx, stopWriter := context.WithCancel(context.Background())
			writerDone := make(chan struct{})
			go func() {
				defer close(writerDone)
				events.Run(writerCtx, os.Stdout)
			}()
			defer func() {
				stopWriter()
				<-writerDone
			}()
			listeners, err := gateway.Listen(conf)
			if err != nil {
				return err
			}
			return gateway.New(conf, listeners, events).Run(ctx)
		},
	}.Main())
}
