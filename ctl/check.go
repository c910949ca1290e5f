package ctl

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/settings"
)

func checkCommand(o *options) *cobra.Command {
	var kind string
	cmd := &cobra.Command{
		Use:     "check FILE...",
		Short:   "Check settings or intent files and report every finding",
		Example: "  rockcroftctl check --as entry entry.jsonc\n  rockcroftctl check --as gateway gateway.jsonc\n  rockcroftctl check --as intent create.jsonc",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			for _, path := range args {
				var err error
				switch kind {
				case "entry":
					conf := settings.DefaultEntry()
					err = jsonc.Load(path, &conf)
				case "gateway":
					conf := settings.DefaultGateway()
					err = jsonc.Load(path, &conf)
				case "intent":
					_, err = loadSpec(path)
				default:
					return usageError{fmt.Errorf("--as must be entry, gateway or intent")}
				}
				if err != nil {
					return err
				}
				if _, err := fmt.Fprintf(o.out, "%s: ok\n", path); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&kind, "as", "entry", "entry, gateway or intent")
	return cmd
}
