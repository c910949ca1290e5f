package ctl

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/rockcroft/rockcroft/protocol/operatorpb"
	"github.com/rockcroft/rockcroft/state/intent"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/keyspace"
	"github.com/rockcroft/rockcroft/state/service"
)

func createCommand(o *options) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "create",
		Short:   "Create an intent from a file and show its plan",
		Example: "  rockcroftctl create --file join.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			spec, err := loadSpec(file)
			if err != nil {
				return err
			}
			return createIntent(cmd, o, spec)
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "specification, JSON with comments")
	// Fails only for a flag that is not defined.
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

// loadSpec reads the specification of an intent from a file.
func loadSpec(path string) (*intent.Spec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{err}
	}
	return decodeSpec(data)
}

func decodeSpec(data []byte) (*intent.Spec, error) {
	spec := &specFile{Service: service.Default()}
	if err := jsonc.Decode(data, spec); err != nil {
		return nil, err
	}
	return spec.intent(), nil
}

// specFile is the specification of an intent as a file holds it. Fields that the file omits in
// service have their defaults.
type specFile struct {
	Kind        intent.Kind       `json:"kind"`
	Service     service.Config    `json:"service"`
	Upstreams   []intent.Upstream `json:"upstreams"`
	Names       []string          `json:"names"`
	ServiceName string            `json:"service_name"`
	Span        *keyspace.Span    `json:"span"`
	Key         string            `json:"key"`
	To          string            `json:"to"`
}

func (f *specFile) intent() *intent.Spec {
	s := &intent.Spec{
		Kind: f.Kind, Upstreams: f.Upstreams, Names: f.Names,
		ServiceName: f.ServiceName, Span: f.Span, Key: f.Key, To: f.To,
	}
	if f.Service.Name != "" {
		conf := f.Service
		s.Service = &conf
	}
	return s
}

// Check implements jsonc.Checker.
func (f *specFile) Check() []jsonc.Diagnostic { return f.intent().Check() }

// createIntent creates an intent and prints it with its plan.
func createIntent(cmd *cobra.Command, o *options, spec *intent.Spec) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	ctx, cancel := callContext(cmd)
	defer cancel()
	resp, err := o.client().CreateIntent(ctx, &operatorpb.CreateIntentRequest{Spec: data, By: operatorName()})
	if err != nil {
		return err
	}
	return o.printIntent(resp.Intent)
}

func listCommand(o *options) *cobra.Command {
	var state string
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List intents, the newest first",
		Example: "  rockcroftctl list --state planned -o json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := callContext(cmd)
			defer cancel()
			resp, err := o.client().ListIntents(ctx, &operatorpb.ListIntentsRequest{State: state})
			if err != nil {
				return err
			}
			return o.printIntents(resp.Intents)
		},
	}
	cmd.Flags().StringVar(&state, "state", "", "planned, confirmed, done or cancelled")
	return cmd
}

// intentCommand returns a command that makes one call for the intent with a given ID.
func intentCommand(o *options, use, short, example string,
	call func(operatorpb.Operator, *cobra.Command, *operatorpb.IntentRequest) (*operatorpb.IntentResponse, error),
) *cobra.Command {
	return &cobra.Command{
		Use:     use + " ID",
		Short:   short,
		Example: example,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			resp, err := call(o.client(), cmd, &operatorpb.IntentRequest{Id: args[0], By: operatorName()})
			if err != nil {
				return err
			}
			return o.printIntent(resp.Intent)
		},
	}
}

func showCommand(o *options) *cobra.Command {
	return intentCommand(o, "show", "Show an intent, its plan and its progress", "  rockcroftctl show i-3f9a",
		func(c operatorpb.Operator, cmd *cobra.Command, r *operatorpb.IntentRequest) (*operatorpb.IntentResponse, error) {
			ctx, cancel := callContext(cmd)
			defer cancel()
			return c.GetIntent(ctx, r)
		})
}

func confirmCommand(o *options) *cobra.Command {
	return intentCommand(o, "confirm", "Confirm a plan; a stale one is refused with exit code 3", "  rockcroftctl confirm i-3f9a",
		func(c operatorpb.Operator, cmd *cobra.Command, r *operatorpb.IntentRequest) (*operatorpb.IntentResponse, error) {
			ctx, cancel := callContext(cmd)
			defer cancel()
			return c.ConfirmIntent(ctx, r)
		})
}

func cancelCommand(o *options) *cobra.Command {
	return intentCommand(o, "cancel", "Withdraw an intent that is not confirmed", "  rockcroftctl cancel i-3f9a",
		func(c operatorpb.Operator, cmd *cobra.Command, r *operatorpb.IntentRequest) (*operatorpb.IntentResponse, error) {
			ctx, cancel := callContext(cmd)
			defer cancel()
			return c.CancelIntent(ctx, r)
		})
}

func leaveCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "leave UPSTREAM...",
		Short:   "Plan that upstreams give up their ranges before a planned stop",
		Example: "  rockcroftctl leave status-3",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return createIntent(cmd, o, &intent.Spec{Kind: intent.Leave, Names: args})
		},
	}
}

func evictCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "evict UPSTREAM...",
		Short:   "State that upstreams have ended for good",
		Example: "  rockcroftctl evict billing-2",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return createIntent(cmd, o, &intent.Spec{Kind: intent.Evict, Names: args})
		},
	}
}

func moveCommand(o *options) *cobra.Command {
	var serviceName, key, to, span string
	cmd := &cobra.Command{
		Use:     "move",
		Short:   "Plan that a key or a span of the hash space moves to an upstream",
		Example: "  rockcroftctl move --service status --key 0911223344 --to status-7",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			spec := &intent.Spec{Kind: intent.Move, ServiceName: serviceName, Key: key, To: to}
			if span != "" {
				parsed, err := parseSpan(span)
				if err != nil {
					return usageError{err}
				}
				spec.Span = &parsed
			}
			return createIntent(cmd, o, spec)
		},
	}
	cmd.Flags().StringVar(&serviceName, "service", "", "service of the key")
	cmd.Flags().StringVar(&key, "key", "", "key to move")
	cmd.Flags().StringVar(&span, "span", "", "span to move, as FIRST-LAST in hexadecimal digits")
	cmd.Flags().StringVar(&to, "to", "", "upstream that takes it")
	return cmd
}

// parseSpan parses a span of the hash space, FIRST-LAST in hexadecimal digits.
func parseSpan(text string) (keyspace.Span, error) {
	var s keyspace.Span
	var first, last uint64
	if _, err := fmt.Sscanf(text, "%x-%x", &first, &last); err != nil {
		return s, fmt.Errorf("span %q: %w", text, err)
	}
	s = keyspace.Span{First: keyspace.Hash(first), Last: keyspace.Hash(last)}
	if !s.Valid() {
		return s, fmt.Errorf("span %q is empty", text)
	}
	return s, nil
}
