// Package process holds what all programs share in their main functions: the --settings flag,
// logging to standard error, signals and exit codes.
package process

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// Exit codes of all programs.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailure means that the program failed while running.
	ExitFailure = 1
	// ExitSettings means that the settings or the arguments are invalid.
	ExitSettings = 2
)

// Logger returns a logger to standard error with the given minimum level; an invalid level means
// info.
func Logger(level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}

// Daemon describes a program that runs until SIGTERM or SIGINT.
type Daemon struct {
	Use   string
	Short string
	// Settings is filled from the settings file before Run is called.
	Settings jsonc.Checker
	// Path is the settings file used if the flag is not given; if it is empty, the flag is
	// required.
	Path string
	// Run serves until ctx ends.
	Run func(ctx context.Context) error
}

// Main runs the daemon and returns the exit code.
func (d Daemon) Main() int {
	var path string
	code := ExitOK
	cmd := &cobra.Command{
		Use:           d.Use + " --settings FILE",
		Short:         d.Short,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := jsonc.Load(path, d.Settings); err != nil {
				code = ExitSettings
				return err
			}
			return d.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "settings", d.Path, "settings file, JSON with comments")
	if d.Path == "" {
		// The flag was just defined, so marking it required cannot fail.
		_ = cmd.MarkFlagRequired("settings")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return max(code, exitCode(err))
	}
	return ExitOK
}

func exitCode(err error) int {
	var diagnostics jsonc.Diagnostics
	if errors.As(err, &diagnostics) {
		return ExitSettings
	}
	return ExitFailure
}
