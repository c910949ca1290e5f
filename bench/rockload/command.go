// Package rockload implements the rockload command, which sets up deployments, generates
// load on them and runs experiments.
package rockload

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/rockcroft/rockcroft/bench/deploy"
	"github.com/rockcroft/rockcroft/bench/lab"
	"github.com/rockcroft/rockcroft/bench/load"
	"github.com/rockcroft/rockcroft/state/jsonc"
)

// Command returns the root command, which prints its results to out.
func Command(out io.Writer) *cobra.Command {
	var settings string
	root := &cobra.Command{
		Use:           "rockload",
		Short:         "Generate load on a deployment and measure it",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			conf := load.DefaultSettings()
			if err := jsonc.Load(settings, &conf); err != nil {
				return err
			}
			result := load.Run(cmd.Context(), conf)
			if conf.Outcomes != "" {
				if err := load.Save(conf.Outcomes, result.Outcomes); err != nil {
					return err
				}
			}
			return Summarize(result).Print(out)
		},
	}
	root.Flags().StringVar(&settings, "settings", "", "settings file of a load run, JSON with comments")
	root.AddCommand(deployCommand(out), waitCommand(out), createCommand(out), experimentCommand(out), listCommand(out), lab.Command(out))
	return root
}

func deployCommand(out io.Writer) *cobra.Command {
	var shape, dir string
	cmd := &cobra.Command{
		Use:   "deploy",
		Short: "Write the settings files of a deployment",
		RunE: func(*cobra.Command, []string) error {
			s, err := deploy.Find(shape)
			if err != nil {
				return err
			}
			if _, err := deploy.Write(s, dir); err != nil {
				return err
			}
			_, err = fmt.Fprintf(out, "deployment %s: %d processes\n", s.Name, s.Processes())
			return err
		},
	}
	cmd.Flags().StringVar(&shape, "shape", "demo", "demo, addis or merrimack")
	cmd.Flags().StringVar(&dir, "dir", "", "directory for the settings files")
	_ = cmd.MarkFlagRequired("dir")
	return cmd
}
