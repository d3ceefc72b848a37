// Package tracer writes OpenTelemetry spans to a file as JSON lines.
//
// # Usage
//
//	t, closeTracer, err := tracer.Open("spans.json", "entry-1")
//	if err != nil {
//		return err
//	}
//	defer closeTracer(ctx)
//
// With an empty file name, Open returns a tracer that discards all spans at
// negligible cost.
package tracer

import (
	"context"
	"os"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const tracerName = "savoryloft"

// Noop returns a tracer that discards all spans.
func Noop() trace.Tracer { return noop.NewTracerProvider().Tracer(tracerName) }

// Open returns a tracer that appends spans to file, and a function that writes
// the buffered spans and closes the file. Each span carries the name of the
// instance as a resource attribute. Open returns an error if the file cannot be
// opened.
func Open(file, instance string) (trace.Tracer, func(context.Context) error, error) {
	if file == "" {
		return Noop(), func(context.Context) error { return nil }, nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, errors.Annotate(err, "open trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return nil, nil, errors.Annotate(err, "create trace exporter")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("instance", instance))),
	)
	closeTracer := func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		return errors.Annotate(err, "flush and close trace file")
	}
	return provider.Tracer(tracerName), closeTracer, nil
}
