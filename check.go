package savoryloft

import (
	"slices"

	"github.com/juju/errors"
)

// maxTier is the highest number of a service tier.
const maxTier = 3

// Check returns an error when a frame violates its schema. Frames are encoded
// as msgpack, and the generated validation covers only JSON.
func (f Frame) Check() error {
	parts := 0
	for _, present := range []bool{f.Hello != nil, f.Digest != nil, f.Fetch != nil, f.Tail != nil, f.Handover != nil} {
		if present {
			parts++
		}
	}
	if parts != 1 {
		return errors.Errorf("frame has %d parts, want one", parts)
	}
	if f.Digest != nil {
		return f.Digest.Check()
	}
	return nil
}

// Check returns an error when a digest violates its schema.
func (d Digest) Check() error {
	if d.ConfirmedAgo < 0 || d.Offset < -1 {
		return errors.Errorf("digest has a negative age or offset")
	}
	for _, p := range d.Demands {
		if p.Pool == "" || len(p.Waiting) > maxTier+1 || len(p.Running) > maxTier+1 || len(p.Expected) > maxTier+1 {
			return errors.Errorf("demand on pool %q has more than %d tiers", p.Pool, maxTier+1)
		}
		for _, n := range slices.Concat(p.Waiting, p.Running, p.Expected) {
			if n < 0 {
				return errors.Errorf("demand on pool %q is negative", p.Pool)
			}
		}
	}
	for _, l := range d.Loads {
		if l.Upstream == "" || l.InFlight < 0 || l.Limit < 0 {
			return errors.Errorf("load of upstream %q is negative", l.Upstream)
		}
	}
	return nil
}

// Check returns an error when a frame violates its schema.
func (f LinkFrame) Check() error {
	for _, g := range f.Members {
		if g.Instance == "" || g.Address == "" {
			return errors.New("member without a name or an address")
		}
	}
	if f.Greeting != nil && (f.Greeting.Instance == "" || f.Greeting.Address == "") {
		return errors.New("greeting without a name or an address")
	}
	for _, r := range f.Records {
		if r.Offset < 0 {
			return errors.Errorf("record of %q has a negative offset", r.Key)
		}
	}
	if f.Update != nil {
		if err := f.Update.Check(); err != nil {
			return err
		}
	}
	if f.Status != nil {
		return f.Status.Check()
	}
	return nil
}

// Check returns an error when a status violates its schema.
func (s LinkStatus) Check() error {
	if s.VersionAge < -1 || s.RegistryAge < -1 {
		return errors.New("status has a negative age")
	}
	for _, u := range s.Usage {
		if u.Requests < 0 {
			return errors.Errorf("usage of account %q is negative", u.Account)
		}
	}
	return checkLoadsAndParts(s.Loads, s.Parts)
}

// Check returns an error when an update violates its schema.
func (u LoadUpdate) Check() error {
	return checkLoadsAndParts(u.Loads, u.Parts)
}

func checkLoadsAndParts(loads []LinkLoad, parts []HeldPart) error {
	for _, p := range parts {
		if p.Upstream == "" || p.Part == "" || p.Tokens < 0 {
			return errors.Errorf("part %q of upstream %q is malformed", p.Part, p.Upstream)
		}
	}
	for _, l := range loads {
		if l.Upstream == "" || l.Running < 0 || l.Prefill < 0 || l.Tokens < 0 {
			return errors.Errorf("load of upstream %q is negative", l.Upstream)
		}
	}
	return nil
}
