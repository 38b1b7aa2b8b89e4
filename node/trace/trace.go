// Package trace records a span for each hop of a call and exports the spans by
// OTLP over HTTP. When tracing is disabled, Start returns its context unchanged and
// a no-op span; a caller's traceparent header still reaches the target.
package trace

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Hop names the stage of a call that a span covers.
type Hop string

// The hops of a call.
const (
	HopEntry  Hop = "entry"
	HopChoice Hop = "choice"
	HopPeer   Hop = "peer"
	HopQueue  Hop = "owner queue"
	HopTarget Hop = "target"
)

// Tracer starts spans. The zero value is disabled.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// Options configures a Tracer.
type Options struct {
	// URL of the OTLP endpoint; empty disables tracing.
	URL string
	// Sample is the fraction of new traces that are sampled.
	Sample float64
	// Node identifies this node in the spans, as service.instance.id.
	Node string
}

// New returns a tracer that exports to opts.URL. It fails when the exporter can't
// be created.
func New(ctx context.Context, opts Options) (*Tracer, error) {
	if opts.URL == "" {
		return &Tracer{}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(opts.URL))
	if err != nil {
		return nil, err
	}
	return NewWithProcessor(sdktrace.NewBatchSpanProcessor(exporter), opts), nil
}

// NewWithProcessor returns a tracer that passes its spans to the processor.
func NewWithProcessor(processor sdktrace.SpanProcessor, opts Options) *Tracer {
	identity := resource.NewSchemaless(attribute.String("service.name", "zinniafalld"), attribute.String("service.instance.id", opts.Node))
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSpanProcessor(processor),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(opts.Sample))),
		sdktrace.WithResource(identity),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer("zinniafall")}
}

// Close exports the remaining spans and shuts the tracer down.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Span is the span of one hop. The zero value is a no-op.
type Span struct{ span trace.Span }

// Start starts the span of a hop and returns a context that contains it.
func (t *Tracer) Start(ctx context.Context, hop Hop) (context.Context, Span) {
	if t.tracer == nil {
		return ctx, Span{}
	}
	ctx, span := t.tracer.Start(ctx, string(hop))
	return ctx, Span{span: span}
}

// SetAttribute sets an attribute of the span.
func (s Span) SetAttribute(name, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String(name, value))
	}
}

// Fail sets the status of the span to error.
func (s Span) Fail(reason string) {
	if s.span != nil {
		s.span.SetStatus(codes.Error, reason)
	}
}

// End completes the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}

// propagator reads and writes W3C trace context headers.
var propagator = propagation.TraceContext{}

// Extract returns a context whose parent span is the one named in the header.
func (t *Tracer) Extract(ctx context.Context, header http.Header) context.Context {
	if t.tracer == nil {
		return ctx
	}
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject writes the context's span to the header.
func (t *Tracer) Inject(ctx context.Context, header http.Header) {
	if t.tracer != nil {
		propagator.Inject(ctx, propagation.HeaderCarrier(header))
	}
}

// Traceparent returns the context's span as the value of a traceparent header. It
// is empty when tracing is disabled.
func (t *Tracer) Traceparent(ctx context.Context) string {
	if t.tracer == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier.Get(traceparentHeader)
}

// WithTraceparent returns a context whose parent span is the one named in the value
// of a traceparent header.
func (t *Tracer) WithTraceparent(ctx context.Context, parent string) context.Context {
	if t.tracer == nil || parent == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{traceparentHeader: parent})
}

// traceparentHeader is the name of the W3C traceparent header.
const traceparentHeader = "traceparent"
