package engine

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/lagoonhead/lagoonhead"
)

const tracerName = "github.com/lagoonhead/lagoonhead/engine"

// startSpan starts the client span of one call to an engine, with the tracer provider
// of the span in ctx. Without a span in ctx it records nothing.
func startSpan(ctx context.Context, op string, e lagoonhead.Endpoint) (context.Context, trace.Span) {
	return trace.SpanFromContext(ctx).TracerProvider().Tracer(tracerName).Start(ctx, op, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("lagoonhead.endpoint", string(e.ID()))))
}

// injectSpan writes the span of ctx into the headers. Without a span the caller's
// traceparent header is kept.
func injectSpan(ctx context.Context, h http.Header) {
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(h))
}

func endSpan(s trace.Span, err error) {
	if err != nil {
		s.SetStatus(codes.Error, lagoonhead.KindOf(err).String())
	}
	s.End()
}
