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
// With an empty file name the tracer records nothing and costs next to
// nothing.
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

const name = "savoryloft"

// None returns a tracer that records nothing.
func None() trace.Tracer { return noop.NewTracerProvider().Tracer(name) }

// Open returns a tracer that appends to a file and the function that writes
// out what is left and closes it.
func Open(file, instance string) (trace.Tracer, func(context.Context) error, error) {
	if file == "" {
		return None(), func(context.Context) error { return nil }, nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, errors.Annotate(err, "open trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return nil, nil, errors.Annotate(err, "start trace exporter")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("instance", instance))),
	)
	shut := func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		return errors.Annotate(err, "close trace file")
	}
	return provider.Tracer(name), shut, nil
}
