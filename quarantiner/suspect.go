package quarantiner

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"savoryloft.example/savoryloft"
)

// requestPrefix marks the suspect that is a request by itself. The ID of a prompt part
// cannot contain a colon.
const requestPrefix = "request:"

// requestDepth is the depth of a request among the suspects of a crash: deeper than all
// parts, since no other request shares it.
const requestDepth = 1 << 20

// accountPrefix marks the suspect that is a prompt part of one account.
const accountPrefix = "account:"

// accountPart returns the suspect that is a prompt part of an account.
func accountPart(account, part string) string { return accountPrefix + account + ":" + part }

// cutAccountPart returns the account and the part of such a suspect.
func cutAccountPart(suspect string) (account, part string, ok bool) {
	rest, ok := strings.CutPrefix(suspect, accountPrefix)
	i := strings.LastIndexByte(rest, ':')
	if !ok || i < 0 {
		return "", "", false
	}
	return rest[:i], rest[i+1:], true
}

// isRequest reports whether a suspect is a request by itself.
func isRequest(suspect string) bool { return strings.HasPrefix(suspect, requestPrefix) }

// Request is a client's request, as far as it can be suspected.
type Request struct {
	Account string
	Parts   []savoryloft.PromptPart // Of its prompt.
	// Fingerprint returns what the repetitions of the request have in common. It is called
	// only when it is needed.
	Fingerprint func() string
}

// sharedParts returns the parts of a prompt that other requests may have too. The last
// part belongs to the request or its session alone.
func sharedParts(parts []savoryloft.PromptPart) []savoryloft.PromptPart {
	return parts[:max(len(parts)-1, 0)]
}

// suspectsOf returns the suspects that may be the cause if a request crashes upstreams:
// the shared parts of its prompt, and the request itself if any request is restricted.
func (q *Quarantiner) suspectsOf(r Request) (suspects []string) {
	for _, p := range sharedParts(r.Parts) {
		suspects = append(suspects, p.ID, accountPart(r.Account, p.ID))
	}
	if q.restrictedRequests.Load() > 0 {
		suspects = append(suspects, requestPrefix+r.Fingerprint())
	}
	return suspects
}

// encodeCrash returns the end of an upstream under requests as it is sent to peers.
func encodeCrash(key incarnation, broken []Broken) savoryloft.UpstreamCrash {
	c := savoryloft.UpstreamCrash{Upstream: key.upstream, StartedAt: key.startedAt}
	add := func(suspect string, depth int, late bool) {
		i := slices.IndexFunc(c.Parts, func(known savoryloft.SuspectPart) bool { return known.Part == suspect })
		switch {
		case i >= 0:
			c.Parts[i].Late = c.Parts[i].Late && late
		case len(c.Parts) < maxSuspects:
			c.Parts = append(c.Parts, savoryloft.SuspectPart{Part: suspect, Depth: depth, Late: late})
		}
	}
	for _, b := range broken {
		add(requestPrefix+b.Fingerprint(), requestDepth, b.silent)
		for depth, p := range sharedParts(b.Parts) {
			add(p.ID, 2*depth, b.Late)
			add(accountPart(b.Account, p.ID), 2*depth+1, b.Late) // Narrower than the part of all accounts.
		}
	}
	return c
}

// tally is what the crashes say against one suspect.
type tally struct {
	weight    int // Of the crashes that no other suspect explains.
	explained int // Weight of the others.
	depth     int
	crashes   int             // That no other suspect explains.
	certain   bool            // No other request is suspected of one of the crashes, or there are many.
	accounts  map[string]bool // Whose requests with the part have ended upstreams; for parts of all accounts only.
}

// suffices reports whether the crashes suffice for a quarantine. For a request, explained
// crashes count if others are not: it may have crashed these upstreams as well. They do not
// suffice alone, since sound requests run beside harmful ones.
func (t *tally) suffices(suspect string) bool {
	if isRequest(suspect) && t.weight > 0 {
		return t.weight+t.explained >= convictionWeight
	}
	return t.weight >= convictionWeight
}

// mostSuspect returns the suspects to be quarantined against which the crashes that others
// do not explain speak most, and of equals the narrowest ones. It returns several if they
// were in the same crashes, or in as many, with what speaks against each.
func (q *Quarantiner) mostSuspect(now time.Time) (suspects []string, tallies map[string]*tally) {
	tallies = map[string]*tally{}
	for key, c := range q.crashes {
		if now.Sub(c.at) > crashLifetime {
			continue
		}
		restricted := sync.OnceValue(func() []string { return q.restrictedIn(c) })
		for id, e := range c.suspects {
			if !e.counted || !q.candidates[id] || q.isRestricted(id) {
				continue
			}
			t := tallies[id]
			if t == nil {
				t = &tally{}
				tallies[id] = t
			}
			if explainedBy(restricted(), id) {
				t.explained += e.weight()
				continue
			}
			t.add(id, e, c, key)
			t.crashes++
			t.certain = t.certain || t.crashes >= manyCrashes && isRequest(id) || !q.ranWithOthers(c, id)
		}
	}
	most := &tally{}
	for id, t := range tallies {
		if !t.suffices(id) {
			continue
		}
		if t.accounts != nil && len(t.accounts) < minAccounts {
			continue
		}
		switch order := cmp.Or(cmp.Compare(t.weight, most.weight), cmp.Compare(t.depth, most.depth)); {
		case order > 0:
			suspects, most = []string{id}, t
		case order == 0:
			suspects = append(suspects, id)
		}
	}
	return suspects, tallies
}

// minCrashes is the number of crashes that may suffice for a quarantine.
const minCrashes = convictionWeight / earlyWeight

// manyCrashes is the number of crashes from which a suspect is hardly sound. They are only
// that many before a quarantine if some count less.
const manyCrashes = minCrashes + 1

// minAccounts is the number of accounts whose requests with a part must have ended
// upstreams before it is refused for all accounts.
const minAccounts = 2

// add adds a crash. If requests of several accounts with the part ran on the upstream, it
// speaks against none of these accounts: those of all but one may be sound. The accounts in
// the reports of earlier builds are not known; each crash then counts as one of another
// account.
func (t *tally) add(suspect string, e *evidence, c *crash, key incarnation) {
	t.weight, t.depth = t.weight+e.weight(), max(t.depth, e.depth)
	if isRequest(suspect) || strings.HasPrefix(suspect, accountPrefix) {
		return
	}
	if t.accounts == nil {
		t.accounts = map[string]bool{}
	}
	var accounts []string
	for id := range c.suspects {
		if account, part, ok := cutAccountPart(id); ok && part == suspect {
			accounts = append(accounts, accountPrefix+account)
		}
	}
	switch len(accounts) {
	case 0:
		t.accounts[fmt.Sprint(key)] = true
	case 1:
		t.accounts[accounts[0]] = true
	}
}

func (e *evidence) weight() int {
	if e.late {
		return lateWeight
	}
	return earlyWeight
}

// ranWithOthers reports whether another request that may be the cause of a crash ran on the
// upstream. The requests of a crash are not known to have a part, so that a part is certain to
// have been the cause only if a single request ran.
func (q *Quarantiner) ranWithOthers(c *crash, suspect string) bool {
	requests := 0
	for id, e := range c.suspects {
		if id != suspect && isRequest(id) && e.counted {
			requests++
		}
	}
	return requests > 1 || requests > 0 && isRequest(suspect)
}

// isRestricted reports whether a suspect is quarantined or on trial.
func (q *Quarantiner) isRestricted(suspect string) bool {
	v := q.verdicts[suspect]
	return v != nil && v.state != Cleared
}

// restrictedIn returns the suspects of a crash that are quarantined or on trial.
func (q *Quarantiner) restrictedIn(c *crash) (restricted []string) {
	for id, e := range c.suspects {
		if e.counted && q.isRestricted(id) {
			restricted = append(restricted, id)
		}
	}
	return restricted
}

// harmfulIn returns the suspects of a crash that are quarantined and unlikely to be sound;
// for a part, also the requests that may be: their clients may not send them again, so that
// no trial tells.
func (q *Quarantiner) harmfulIn(c *crash, forPart bool) (harmful []string) {
	for _, id := range q.restrictedIn(c) {
		v := q.verdicts[id]
		if v.state == Quarantined && !v.short || forPart && isRequest(id) {
			harmful = append(harmful, id)
		}
	}
	return harmful
}

// explainedBy reports whether a crash speaks against a suspect no more, since others of
// its suspects are restricted. A part that is refused for one account explains no crash of
// the part for all.
func explainedBy(restricted []string, suspect string) bool {
	for _, id := range restricted {
		if _, part, ok := cutAccountPart(id); id != suspect && (!ok || part != suspect) {
			return true
		}
	}
	return false
}
