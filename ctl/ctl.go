// Package ctl implements rockcroftctl, the command line for operators.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/user"
	"time"

	"github.com/spf13/cobra"
	"github.com/twitchtv/twirp"

	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/operatorpb"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/transport/framing"
)

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnavailable = 4
)

// callTimeout bounds one call to an entry or a gateway.
const callTimeout = 5 * time.Second

// options holds the flags and the output that all commands share.
type options struct {
	entry  jsonc.Addr
	output string
	out    io.Writer
}

func (o *options) client() operatorpb.Operator {
	return operatorpb.NewOperatorProtobufClient("http://"+o.entry.String(), httpClient())
}

// httpClient returns the client for one call to an entry or a gateway.
func httpClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: framing.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
}

func (o *options) json() bool { return o.output == "json" }

// Command returns the root command. Its commands write to out.
func Command(out io.Writer) *cobra.Command {
	o := &options{out: out}
	var entry string
	root := &cobra.Command{
		Use:           "rockcroftctl",
		Short:         "State intents, look at plans, confirm them, and see what is in force",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			if o.output != "table" && o.output != "json" {
				return usageError{fmt.Errorf("--output must be table or json")}
			}
			if cmd.Name() == "check" || cmd.Name() == "story" || cmd.Name() == "capacity" {
				return nil
			}
			if err := o.entry.UnmarshalText([]byte(entry)); err != nil {
				return usageError{fmt.Errorf("--entry: %w", err)}
			}
			return nil
		},
	}
	root.SetOut(out)
	root.PersistentFlags().StringVar(&entry, "entry", "127.0.0.1:7002", "admin address of any entry")
	root.PersistentFlags().StringVarP(&o.output, "output", "o", "table", "table or json")
	root.AddCommand(
		createCommand(o), listCommand(o), showCommand(o), confirmCommand(o), cancelCommand(o),
		statusCommand(o), checkCommand(o), leaveCommand(o), evictCommand(o), moveCommand(o),
		storyCommand(o), placementCommand(o), evacuationsCommand(o), ownersCommand(o), suspectsCommand(o), unreadCommand(o), watchesCommand(o), capacityCommand(o),
	)
	return root
}

// usageError marks an error in the arguments; ExitCode maps it to ExitUsage.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// ExitCode maps the error of a command to the exit code of the process.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var usage usageError
	var diagnostics jsonc.Diagnostics
	if errors.As(err, &usage) || errors.As(err, &diagnostics) {
		return ExitUsage
	}
	var rpc twirp.Error
	if !errors.As(err, &rpc) {
		return ExitFailure
	}
	switch answer.Kind(rpc.Meta("kind")) {
	case answer.Conflict, answer.StalePlan:
		return ExitConflict
	case answer.BadRequest, answer.NotFound:
		return ExitUsage
	case answer.PlatformDown:
		return ExitUnavailable
	}
	if rpc.Code() == twirp.Unavailable || rpc.Code() == twirp.Internal {
		return ExitUnavailable
	}
	return ExitFailure
}

func callContext(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), callTimeout)
}

// operatorName returns the user name to record with intents, or an empty string if
// it is not known.
func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
