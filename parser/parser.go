// Package parser reads settings and release notes: JSON with comments, checked
// against the embedded schemas, with defaults from the schema filled in.
//
// # Usage
//
//	data, err := os.ReadFile("entry.json")
//	if err != nil {
//		return err
//	}
//	settings, err := parser.Settings("entry.json", data)
//
// A field that the schema does not know is an error that names the field's
// path, so a misspelt field never passes silently.
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

// Settings parses the settings of an entry instance. The name of the source is
// used in errors.
func Settings(source string, data []byte) (savoryloft.Settings, error) {
	var s savoryloft.Settings
	err := decode(source, data, settingsSchema, "", &s)
	return s, err
}

// Note parses a release note. The name of the source is used in errors.
func Note(source string, data []byte) (savoryloft.Note, error) {
	var n savoryloft.Note
	err := decode(source, data, recordsSchema, "Note", &n)
	return n, err
}

// LoadPlan parses a plan of the load generator. The name of the source is used
// in errors.
func LoadPlan(source string, data []byte) (savoryloft.LoadPlan, error) {
	var p savoryloft.LoadPlan
	err := decode(source, data, loadSchema, "", &p)
	return p, err
}

// Record checks and decodes one record of the control stream.
func Record(data []byte) (savoryloft.Record, error) {
	var r savoryloft.Record
	err := decode("record", data, recordsSchema, "", &r)
	return r, err
}

func decode(source string, data []byte, schema, def string, v any) error {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return errors.Annotatef(err, "%s is not JSON with comments", source)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(plain))
	if err != nil {
		return errors.Annotatef(err, "%s is not valid JSON", source)
	}
	s, err := compile(schema, def)
	if err != nil {
		return errors.Trace(err)
	}
	if err := s.Validate(doc); err != nil {
		return fmt.Errorf("%s: %s", source, explain(err))
	}
	full, err := json.Marshal(withDefaults(s, doc))
	if err != nil {
		return errors.Annotate(err, source)
	}
	return errors.Annotate(json.Unmarshal(full, v), source)
}

var compiled sync.Map // Schema location to *jsonschema.Schema.

func compile(file, def string) (*jsonschema.Schema, error) {
	location := "file:///" + file
	if def != "" {
		location += "#/$defs/" + def
	}
	if s, ok := compiled.Load(location); ok {
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
	compiled.Store(location, s)
	return s, nil
}

// explain lists the leaves of a validation error, each with its field's path.
func explain(err error) string {
	ve, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return err.Error()
	}
	lines := leaves(ve, message.NewPrinter(language.English))
	sort.Strings(lines)
	return strings.Join(lines, "; ")
}

func leaves(ve *jsonschema.ValidationError, p *message.Printer) []string {
	if len(ve.Causes) == 0 {
		path := strings.Join(ve.InstanceLocation, ".")
		if path == "" {
			path = "top level"
		}
		return []string{path + ": " + ve.ErrorKind.LocalizedString(p)}
	}
	var lines []string
	for _, c := range ve.Causes {
		lines = append(lines, leaves(c, p)...)
	}
	return lines
}

// withDefaults fills absent properties of doc from the schema's defaults.
func withDefaults(s *jsonschema.Schema, doc any) any {
	for s.Ref != nil {
		s = s.Ref
	}
	switch v := doc.(type) {
	case map[string]any:
		for name, p := range s.Properties {
			if _, ok := v[name]; !ok {
				d, ok := defaultOf(p)
				if !ok {
					continue
				}
				v[name] = d
			}
			v[name] = withDefaults(p, v[name])
		}
	case []any:
		items, ok := s.Items2020, s.Items2020 != nil
		for i := range v {
			if ok {
				v[i] = withDefaults(items, v[i])
			}
		}
	}
	return doc
}

// defaultOf returns a fresh copy of a schema's default value.
func defaultOf(s *jsonschema.Schema) (any, bool) {
	if s.Default == nil {
		return nil, false
	}
	if _, ok := (*s.Default).(map[string]any); ok {
		return map[string]any{}, true
	}
	return *s.Default, true
}
