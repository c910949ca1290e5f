// Package process holds what the mains of all programs share: the --settings
// flag, logs on standard error, signals and exit codes.
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
	// ExitOK: the program did what it was asked.
	ExitOK = 0
	// ExitFailure: it failed while running.
	ExitFailure = 1
	// ExitSettings: its settings or arguments are not valid.
	ExitSettings = 2
)

// Logger returns a logger of the level on standard error.
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
	// Settings are filled from the file before Run is called.
	Settings jsonc.Checker
	// Path is the settings file when the flag is not given; empty requires the
	// flag.
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
		// The flag was defined on the line before, so marking cannot fail.
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
	var findings jsonc.Diagnostics
	if errors.As(err, &findings) {
		return ExitSettings
	}
	return ExitFailure
}
