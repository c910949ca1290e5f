package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/rockcroft/rockcroft/state/settings"
)

var propagator = propagation.TraceContext{}

// Extract returns ctx with the W3C trace context of incoming headers.
func Extract(ctx context.Context, h http.Header) context.Context {
	if h.Get("Traceparent") == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject writes the W3C trace context of ctx into outgoing headers.
func Inject(ctx context.Context, h http.Header) {
	if trace.SpanContextFromContext(ctx).IsValid() {
		propagator.Inject(ctx, propagation.HeaderCarrier(h))
	}
}

// NewTracer returns the tracer selected by the settings, and a function that flushes the pending
// spans and shuts the exporter down.
func NewTracer(ctx context.Context, t settings.Trace, serviceName string) (trace.Tracer, func(context.Context) error, error) {
	var exporter sdktrace.SpanExporter
	var err error
	switch t.Exporter {
	case "stdout":
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	case "otlp":
		exporter, err = otlptracehttp.New(ctx,
			otlptracehttp.WithEndpoint(t.Endpoint.String()), otlptracehttp.WithInsecure())
	default:
		return noop.NewTracerProvider().Tracer("rockcroft"), func(context.Context) error { return nil }, nil
	}
	if err != nil {
		return nil, nil, fmt.Errorf("create trace exporter: %w", err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(t.SampleShare))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", serviceName))),
	)
	return provider.Tracer("rockcroft"), provider.Shutdown, nil
}
