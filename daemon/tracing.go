package daemon

import (
	"context"
	"io"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/settings"
)

// tracing provides the tracers. stop flushes the buffered spans.
type tracing struct {
	provider trace.TracerProvider
	stop     func(context.Context) error
}

// newTracing returns the tracing that the settings select. The stdout exporter writes to
// out.
func newTracing(ctx context.Context, s settings.Settings, out io.Writer) (tracing, error) {
	var exporter sdktrace.SpanExporter
	var err error
	switch s.Trace.Exporter {
	case settings.ExportStdout:
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(out))
	case settings.ExportOTLP:
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.Trace.Endpoint))
	default:
		return tracing{provider: noop.NewTracerProvider(), stop: func(context.Context) error { return nil }}, nil
	}
	if err != nil {
		return tracing{}, fail("trace", lagoonhead.KindInvalid, err)
	}
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Trace.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "lagoonhead"),
			attribute.String("service.instance.id", string(s.VM.ID)),
		)),
	)
	return tracing{provider: p, stop: p.Shutdown}, nil
}
