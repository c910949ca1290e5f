// Command rockcroft-entry runs an entry, which serves callers and takes part in the control of
// one cell.
package main

import (
	"context"
	"os"

	"github.com/rockcroft/rockcroft/entry"
	"github.com/rockcroft/rockcroft/process"
	"github.com/rockcroft/rockcroft/state/settings"
	"github.com/rockcroft/rockcroft/transport/platform"
)

func main() {
	conf := settings.DefaultEntry()
	os.Exit(process.Daemon{
		Use:      "rockcroft-entry",
		Short:    "Serve callers and take part in the control of one cell",
		Settings: &conf,
		Run: func(ctx context.Context) error {
			store := platform.NewClient(conf.Platform.String(), conf.PlatformTimeout.D())
			e, err := entry.Provision(ctx, conf, store, process.Logger(conf.LogLevel))
			if err != nil {
				return err
			}
			return e.Serve(ctx)
		},
	}.Main())
}
