// Command standin-upstream simulates a server that owns keys, for tests.
package main

import (
	"context"
	"os"

	"github.com/rockcroft/rockcroft/process"
	"github.com/rockcroft/rockcroft/standin/upstream"
)

func main() {
	conf := upstream.DefaultSettings()
	os.Exit(process.Daemon{
		Use:      "standin-upstream",
		Short:    "Stand in for a server that owns keys",
		Settings: &conf,
		Run: func(ctx context.Context) error {
			s, err := upstream.New(conf, upstream.NewBootID())
			if err != nil {
				return err
			}
			return s.Serve(ctx)
		},
	}.Main())
}
