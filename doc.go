// Package savoryloft holds the domain types of a router for language-model
// traffic: settings, release notes, log records, frames between instances and
// the errors and interfaces that the packages below it share.
//
// Types in files named *_generated.go come from the JSON schemas in schema/;
// run "make generate" after changing one.
//
// # Usage
//
// Decode a record of the control stream; decoding validates it against the
// schema:
//
//	var r savoryloft.Record
//	if err := json.Unmarshal(data, &r); err != nil {
//		return err
//	}
//	if r.Note != nil {
//		fmt.Println("note", r.Note.ID)
//	}
//
// The request path is in receiver, authenticator, admitter, dispatcher,
// journaler and recorder. The background duties are in follower, gossiper,
// elector, scaler and reporter. Package server wires them into one process.
package savoryloft

import "embed"

// Schemas holds the JSON schemas that settings and notes are validated against.
//
//go:embed schema/*.json
var Schemas embed.FS
