// Package trace makes a span for each hop of a call and exports the spans by
// OTLP over HTTP. When tracing is off, Start returns its context unchanged
// and a span that does nothing, and a caller's traceparent still reaches the
// target.
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

// Hop names the part of a call's way that a span covers.
type Hop string

// The hops of a call.
const (
	HopEntry  Hop = "entry"
	HopChoice Hop = "choice"
	HopPeer   Hop = "peer"
	HopQueue  Hop = "owner queue"
	HopTarget Hop = "target"
)

// Tracer makes spans. The zero value is off.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// Options configure a Tracer.
type Options struct {
	// URL of the OTLP endpoint; empty is off.
	URL string
	// Sample is the share of new traces that are kept.
	Sample float64
	// Node names this process in the spans.
	Node string
}

// New returns a tracer; it fails when the exporter can't be made.
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

// NewWithProcessor returns a tracer whose spans go to the processor.
func NewWithProcessor(processor sdktrace.SpanProcessor, opts Options) *Tracer {
	identity := resource.NewSchemaless(attribute.String("service.name", "zinniafalld"), attribute.String("service.instance.id", opts.Node))
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSpanProcessor(processor),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(opts.Sample))),
		sdktrace.WithResource(identity),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer("zinniafall")}
}

// Close exports what is left.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Span is one hop under way. The zero value does nothing.
type Span struct{ span trace.Span }

// Start begins the span of a hop.
func (t *Tracer) Start(ctx context.Context, hop Hop) (context.Context, Span) {
	if t.tracer == nil {
		return ctx, Span{}
	}
	ctx, span := t.tracer.Start(ctx, string(hop))
	return ctx, Span{span: span}
}

// SetAttribute notes an attribute.
func (s Span) SetAttribute(name, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String(name, value))
	}
}

// Fail marks the hop as failed.
func (s Span) Fail(reason string) {
	if s.span != nil {
		s.span.SetStatus(codes.Error, reason)
	}
}

// End closes the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}

// propagator reads and writes W3C traceparent headers.
var propagator = propagation.TraceContext{}

// Extract returns a context under the span that the header names.
func (t *Tracer) Extract(ctx context.Context, header http.Header) context.Context {
	if t.tracer == nil {
		return ctx
	}
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject names the context's span in the header.
func (t *Tracer) Inject(ctx context.Context, header http.Header) {
	if t.tracer != nil {
		propagator.Inject(ctx, propagation.HeaderCarrier(header))
	}
}

// Traceparent returns the context's span as the text of a traceparent header, empty
// when tracing is off.
func (t *Tracer) Traceparent(ctx context.Context) string {
	if t.tracer == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier.Get(parentField)
}

// WithTraceparent returns a context under the span that the text of a traceparent
// header names.
func (t *Tracer) WithTraceparent(ctx context.Context, parent string) context.Context {
	if t.tracer == nil || parent == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{parentField: parent})
}

// parentField is the name of the W3C header.
const parentField = "traceparent"
