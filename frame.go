package savoryloft

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Instances of several builds run beside each other during an upgrade. A LinkFrame is
// therefore a map of the fields that are set, of which a decoder skips those that it does
// not know. All types inside it are arrays without names, which decoders take only with
// the number of elements that they know. Earlier builds also send the frame as an array.

// frameField is a field of a LinkFrame that is set.
type frameField struct {
	name  string
	value any
}

// fields returns the fields that are set.
func (f *LinkFrame) fields() (set []frameField) {
	add := func(name string, value any, ok bool) {
		if ok {
			set = append(set, frameField{name, value})
		}
	}
	add("Begun", f.Begun, len(f.Begun) > 0)
	add("Detours", f.Detours, len(f.Detours) > 0)
	add("Duties", f.Duties, f.Duties != nil)
	add("Features", f.Features, len(f.Features) > 0)
	add("Greeting", f.Greeting, f.Greeting != nil)
	add("Limits", f.Limits, f.Limits != nil)
	add("Members", f.Members, len(f.Members) > 0)
	add("Origins", f.Origins, f.Origins != nil)
	add("Records", f.Records, len(f.Records) > 0)
	add("Registry", f.Registry, f.Registry != nil)
	add("Status", f.Status, f.Status != nil)
	add("Suspicions", f.Suspicions, f.Suspicions != nil)
	add("Update", f.Update, f.Update != nil)
	return set
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (f *LinkFrame) EncodeMsgpack(e *msgpack.Encoder) error {
	set := f.fields()
	if err := e.EncodeMapLen(len(set)); err != nil {
		return err
	}
	for _, field := range set {
		if err := e.EncodeString(field.name); err != nil {
			return err
		}
		if err := e.Encode(field.value); err != nil {
			return err
		}
	}
	return nil
}

// arrayFrame is a LinkFrame as earlier builds send it.
type arrayFrame struct {
	Duties     *DutyFacts
	Greeting   *LinkGreeting
	Members    []LinkGreeting
	Records    []ControlRecord
	Status     *LinkStatus
	Suspicions *Suspicions
	Update     *LoadUpdate
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (f *LinkFrame) DecodeMsgpack(d *msgpack.Decoder) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	if !msgpcode.IsFixedArray(code) && code != msgpcode.Array16 && code != msgpcode.Array32 {
		type plain LinkFrame
		return d.Decode((*plain)(f))
	}
	var a arrayFrame
	if err := d.Decode(&a); err != nil {
		return err
	}
	*f = LinkFrame{
		Duties: a.Duties, Greeting: a.Greeting, Members: a.Members, Records: a.Records, Status: a.Status,
		Suspicions: a.Suspicions, Update: a.Update,
	}
	return nil
}
