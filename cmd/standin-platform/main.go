// Command standin-platform simulates the platform's object service for tests.
package main

import (
	"context"
	"os"

	"github.com/rockcroft/rockcroft/process"
	"github.com/rockcroft/rockcroft/standin/platform"
)

func main() {
	conf := platform.DefaultSettings()
	os.Exit(process.Daemon{
		Use:      "standin-platform",
		Short:    "Stand in for the platform's object service",
		Settings: &conf,
		Run: func(ctx context.Context) error {
			return process.ServeHTTP(ctx, conf.Listen.String(), platform.NewServer(conf).Handler())
		},
	}.Main())
}
