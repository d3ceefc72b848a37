// Package parser parses settings, release notes, load plans and control records. They
// are JSON with comments and trailing commas. The parser validates them against the
// embedded JSON schemas and sets absent properties to the defaults of the schema.
//
// # Usage
//
//	data, err := os.ReadFile("entry.json")
//	if err != nil {
//		return err
//	}
//	settings, err := parser.Settings("entry.json", data)
//
// A property that is not in the schema is an error that contains the path of the
// property, so misspelled names are not ignored.
package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/juju/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"savoryloft.example/savoryloft"
)

const (
	settingsSchema = "schema/settings.json"
	recordsSchema  = "schema/records.json"
	loadSchema     = "schema/load.json"
)

// Settings parses the settings of an entry instance. source is the name of the
// document in errors. An error lists all violations of the schema.
func Settings(source string, data []byte) (savoryloft.Settings, error) {
	var s savoryloft.Settings
	err := decode(source, data, settingsSchema, "", &s)
	return s, err
}

// Note parses a release note. source is the name of the document in errors.
func Note(source string, data []byte) (savoryloft.Note, error) {
	var n savoryloft.Note
	err := decode(source, data, recordsSchema, "Note", &n)
	return n, err
}

// LoadPlan parses a plan of the load generator. source is the name of the document in
// errors.
func LoadPlan(source string, data []byte) (savoryloft.LoadPlan, error) {
	var p savoryloft.LoadPlan
	err := decode(source, data, loadSchema, "", &p)
	return p, err
}

// Record parses one record of the control stream.
func Record(data []byte) (savoryloft.Record, error) {
	var r savoryloft.Record
	err := decode("record", data, recordsSchema, "", &r)
	return r, err
}

// decode parses data into v after validating it against the definition def of an
// embedded schema, or against the whole schema if def is empty.
func decode(source string, data []byte, schemaFile, def string, v any) error {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return errors.Annotatef(err, "%s is not JSON with comments", source)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(standard))
	if err != nil {
		return errors.Annotatef(err, "%s is not valid JSON", source)
	}
	schema, err := compileSchema(schemaFile, def)
	if err != nil {
		return errors.Trace(err)
	}
	if err := schema.Validate(doc); err != nil {
		return fmt.Errorf("%s: %s", source, validationErrorText(err))
	}
	complete, err := json.Marshal(applyDefaults(schema, doc))
	if err != nil {
		return errors.Annotate(err, source)
	}
	return errors.Annotate(json.Unmarshal(complete, v), source)
}

var compiledSchemas sync.Map // Maps a schema location to its *jsonschema.Schema.

// compileSchema returns the compiled definition def of an embedded schema file, or the
// whole schema if def is empty. It caches the result.
func compileSchema(file, def string) (*jsonschema.Schema, error) {
	location := "file:///" + file
	if def != "" {
		location += "#/$defs/" + def
	}
	if s, ok := compiledSchemas.Load(location); ok {
		return s.(*jsonschema.Schema), nil
	}
	data, err := savoryloft.Schemas.ReadFile(file)
	if err != nil {
		return nil, errors.Annotatef(err, "embedded schema %s", file)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Annotatef(err, "embedded schema %s", file)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("file:///"+file, doc); err != nil {
		return nil, errors.Annotatef(err, "embedded schema %s", file)
	}
	s, err := c.Compile(location)
	if err != nil {
		return nil, errors.Annotatef(err, "embedded schema %s", file)
	}
	compiledSchemas.Store(location, s)
	return s, nil
}

// validationErrorText formats the leaf errors of a validation error in one line, each
// with the path of its property.
func validationErrorText(err error) string {
	ve, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return err.Error()
	}
	lines := leafErrors(ve, message.NewPrinter(language.English))
	sort.Strings(lines)
	return strings.Join(lines, "; ")
}

// leafErrors returns the errors in ve that have no causes of their own.
func leafErrors(ve *jsonschema.ValidationError, p *message.Printer) []string {
	if len(ve.Causes) == 0 {
		path := strings.Join(ve.InstanceLocation, ".")
		if path == "" {
			path = "top level"
		}
		return []string{path + ": " + ve.ErrorKind.LocalizedString(p)}
	}
	var lines []string
	for _, c := range ve.Causes {
		lines = append(lines, leafErrors(c, p)...)
	}
	return lines
}

// applyDefaults sets absent properties in doc to the defaults of the schema, including
// those of nested objects and of array elements. It modifies doc and returns it.
func applyDefaults(s *jsonschema.Schema, doc any) any {
	for s.Ref != nil {
		s = s.Ref
	}
	switch v := doc.(type) {
	case map[string]any:
		for name, p := range s.Properties {
			if _, ok := v[name]; !ok {
				d, ok := defaultValue(p)
				if !ok {
					continue
				}
				v[name] = d
			}
			v[name] = applyDefaults(p, v[name])
		}
	case []any:
		items, ok := s.Items2020, s.Items2020 != nil
		for i := range v {
			if ok {
				v[i] = applyDefaults(items, v[i])
			}
		}
	}
	return doc
}

// defaultValue returns the default of a schema; ok is false if there is none. A default
// that is an object is returned as a new empty map, which applyDefaults fills, so that
// documents do not share it.
func defaultValue(s *jsonschema.Schema) (value any, ok bool) {
	if s.Default == nil {
		return nil, false
	}
	if _, ok := (*s.Default).(map[string]any); ok {
		return map[string]any{}, true
	}
	return *s.Default, true
}
