package savoryloft

import (
	"math"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"

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
		if r.Position < 0 {
			return errors.Errorf("record of %q has a negative position", r.Key)
		}
	}
	if f.Duties != nil {
		if err := f.Duties.Check(); err != nil {
			return err
		}
	}
	if f.Update != nil {
		if err := f.Update.Check(); err != nil {
			return err
		}
	}
	if f.Suspicions != nil {
		if err := f.Suspicions.Check(); err != nil {
			return err
		}
	}
	if f.Limits != nil {
		if err := f.Limits.Check(); err != nil {
			return err
		}
	}
	if len(f.Detours) > maxDetours {
		return errors.Errorf("%d announcements of instances, want at most %d", len(f.Detours), maxDetours)
	}
	for _, d := range f.Detours {
		if err := d.Check(); err != nil {
			return err
		}
	}
	if f.Status != nil {
		return f.Status.Check()
	}
	return nil
}

// maxDetours is the number of announcements in a frame; instances send a few.
const maxDetours = 64

const (
	maxTokenBytes   = 128 // Of a Detour.
	tokenCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
)

// Check returns an error when an announcement names no instance that can be sent requests.
func (d Detour) Check() error {
	if _, err := netip.ParseAddrPort(d.Address); err != nil || d.Instance == "" || d.Age < 0 {
		return errors.Errorf("announcement of instance %q at %q is malformed", d.Instance, d.Address)
	}
	if d.Token == "" || len(d.Token) > maxTokenBytes || strings.Trim(d.Token, tokenCharacters) != "" {
		return errors.Errorf("announcement of instance %q has no valid token", d.Instance)
	}
	return nil
}

// maxUnixMs is the latest start of a process that is taken for one; it is in the year 2248.
const maxUnixMs = 1 << 43

// Check returns an error when a greeting names no instance that can be dialed.
func (g LinkGreeting) Check() error {
	host, port, err := net.SplitHostPort(g.Address)
	if err != nil {
		return errors.Annotate(err, "address")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return errors.Errorf("address %q has no host or no port from 1 to 65535", g.Address)
	}
	if g.Instance == "" || g.Incarnation < 0 || g.Incarnation > maxUnixMs || g.Power < 0 || g.Protocol < 0 {
		return errors.Errorf("greeting of %q has no name or a number out of range", g.Instance)
	}
	return nil
}

// Check returns an error when an exchange violates its schema.
func (e LimitExchange) Check() error {
	for _, l := range e.Limits {
		if l.Upstream == "" || l.StartedAt < 0 || l.Version < 1 || !(l.PerSecond >= 0 && l.PerSecond <= math.MaxFloat64 || l.PerSecond == NoLimit) {
			return errors.Errorf("limit of upstream %q is out of range", l.Upstream)
		}
	}
	for _, r := range e.Requests {
		if len(r.Upstreams) == 0 || r.Rank < 0 || r.Wait < 0 || r.Hops < 0 {
			return errors.Errorf("request %d for a token is out of range", r.ID)
		}
	}
	for _, r := range e.Replies {
		if r.RetryAfter < 0 {
			return errors.Errorf("reply %d to a request for a token is out of range", r.ID)
		}
	}
	return nil
}

// maxPartState is the highest state of a PartVerdict.
const maxPartState = 2

// Check returns an error when suspicions violate their schema.
func (s Suspicions) Check() error {
	for _, c := range s.Crashes {
		if c.Upstream == "" {
			return errors.New("crash of an upstream without a name")
		}
		for _, p := range c.Parts {
			if p.Part == "" || p.Depth < 0 {
				return errors.Errorf("suspect part %q of upstream %q is malformed", p.Part, c.Upstream)
			}
		}
	}
	for _, v := range s.Verdicts {
		if v.Part == "" || v.Version < 1 || v.State < 0 || v.State > maxPartState || v.Strikes < 0 || v.Remaining < 0 {
			return errors.Errorf("verdict on part %q is out of range", v.Part)
		}
	}
	return nil
}

const (
	maxWindowCount = 1 << 40 // Of requests of an account in a window, or so far.
	maxServiceSize = 1 << 20
)

// Check returns an error when a record has numbers out of range.
func (d DutyRecord) Check() error {
	if d.Incarnation < 0 || d.Incarnation > maxUnixMs || d.Sequence < 0 {
		return errors.Errorf("record of %q has a number out of range", d.Instance)
	}
	if f := d.Figures; f != nil && (f.Window < 0 || !areCounts(f.Counts)) {
		return errors.Errorf("figures of window %d are out of range", f.Window)
	}
	for _, p := range d.Partials {
		if p.Window < 0 || !areCounts(p.Counts) {
			return errors.Errorf("partial counts of window %d are out of range", p.Window)
		}
	}
	if d.Size != nil && (d.Size.Upstreams < 0 || d.Size.Upstreams > maxServiceSize) {
		return errors.Errorf("size of service %q is out of range", d.Size.Service)
	}
	return nil
}

func areCounts(counts map[string]int) bool {
	for _, n := range counts {
		if n < 0 || n > maxWindowCount {
			return false
		}
	}
	return true
}

// Check returns an error when facts violate their schema.
func (d DutyFacts) Check() error {
	for _, f := range d.Figures {
		if len(f.Accounts) != len(f.Requests) {
			return errors.Errorf("figures of window %d have %d accounts and %d counts", f.Window, len(f.Accounts), len(f.Requests))
		}
		if f.Position < 0 || slices.ContainsFunc(f.Requests, func(n int) bool { return n < 0 }) {
			return errors.Errorf("figures of window %d are negative", f.Window)
		}
	}
	for _, s := range d.Sizes {
		if s.Upstreams < 0 || s.Position < 0 {
			return errors.Errorf("size of service %q is negative", s.Service)
		}
	}
	return nil
}

// Check returns an error when a status violates its schema.
func (s LinkStatus) Check() error {
	if s.VersionAge < -1 || s.RegistryAge < -1 {
		return errors.New("status has a negative age")
	}
	if s.Instances < 0 || s.DomainInstances < 0 {
		return errors.New("status has a negative number of instances")
	}
	for _, u := range s.Usage {
		if err := u.Check(); err != nil {
			return err
		}
	}
	return checkLoadsAndParts(s.Loads, s.Parts)
}

// Check returns an error when a batch violates its schema.
func (u UsageBatch) Check() error {
	if len(u.Accounts) != len(u.Requests) {
		return errors.Errorf("usage of %q has %d accounts and %d counts", u.Source, len(u.Accounts), len(u.Requests))
	}
	for i, n := range u.Requests {
		if n < 0 {
			return errors.Errorf("usage of account %q is negative", u.Accounts[i])
		}
	}
	return nil
}

// Check returns an error when an update violates its schema.
func (u LoadUpdate) Check() error {
	return checkLoadsAndParts(u.Loads, u.Parts)
}

func checkLoadsAndParts(loads *LoadChanges, parts []HeldPart) error {
	for _, p := range parts {
		if p.Upstream == "" || p.Part == "" || p.Tokens < 0 {
			return errors.Errorf("part %q of upstream %q is malformed", p.Part, p.Upstream)
		}
	}
	if loads == nil {
		return nil
	}
	return loads.Check()
}

// valuesPerLoad is the number of values that LoadChanges has for each load.
const valuesPerLoad = 4

// Check returns an error when load changes violate their schema.
func (c LoadChanges) Check() error {
	if slices.Contains(c.Names, "") {
		return errors.New("load of an upstream without a name")
	}
	if len(c.Values)%valuesPerLoad != 0 {
		return errors.Errorf("load changes have %d values, want a multiple of %d", len(c.Values), valuesPerLoad)
	}
	if slices.ContainsFunc(c.Values, func(v int) bool { return v < 0 }) {
		return errors.New("load is negative")
	}
	return nil
}
