package quarantiner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

// crashUnderRequests records that a new upstream has ended under the given requests.
func (q *Quarantiner) crashUnderRequests(upstream string, requests ...Request) {
	for _, r := range requests {
		q.ObserveBroken(savoryloft.RegisteredUpstream{ID: upstream}, Broken{Request: r, OnProbed: func(bool) {}})
	}
	time.Sleep(time.Second)
}

// Guards against one request that is sent on after three upstreams have ended under it,
// and against others that are refused for it.
func TestRequestIsQuarantinedByItself(t *testing.T) {
	for _, tt := range []struct {
		name    string
		parts   string   // Of the harmful request and of those beside it.
		beside  []string // Fingerprints of requests on each upstream that ends.
		success string   // Fingerprint of a request that succeeds after each crash; none if empty.
		late    bool
		refused bool // The harmful request is.
	}{
		{"plain", "", nil, "", false, true},
		{"plain, others beside it", "", []string{"x%d", "y%d"}, "", false, true},
		{"plain, one that comes again beside it", "", []string{"again"}, "again", false, true},
		{"with parts", "a b", nil, "", false, true},
		{"with parts, others beside it", "a b", []string{"x%d", "y%d"}, "", false, true},
		{"with parts, late", "a b", nil, "", true, true},
		{"it succeeds in between", "", nil, "harmful", false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q, _ := newQuarantiner()
				harmful := request("harmful", tt.parts)
				for n := range 3 {
					require.True(t, q.Admit(harmful).OK)
					u := fmt.Sprint("u-", n)
					q.ObserveBroken(savoryloft.RegisteredUpstream{ID: u}, Broken{Request: harmful, Late: tt.late, OnProbed: func(bool) {}})
					var others []Request
					for _, f := range tt.beside {
						if strings.Contains(f, "%d") {
							f = fmt.Sprintf(f, n)
						}
						others = append(others, request(f, tt.parts))
					}
					q.crashUnderRequests(u, others...)
					if tt.success != "" {
						q.ObserveSuccess(request(tt.success, tt.parts))
					}
				}
				require.Equal(t, tt.refused, !q.Admit(harmful).OK)
				require.True(t, q.Admit(request("sound", tt.parts)).OK, "another request with the same parts")
				require.True(t, q.Admit(request("again", tt.parts)).OK)
				require.True(t, q.Admit(request("x0", tt.parts)).OK)
			})
		})
	}
}

// Guards against a sound request that is refused for long, or a harmful one that is not,
// because both ran on the same upstreams each time that these ended.
func TestRequestsThatRanTogetherAreToldApart(t *testing.T) {
	for seed := range 20 { // The order of suspects must not depend on their fingerprints.
		synctest.Test(t, func(t *testing.T) {
			q, _ := newQuarantiner()
			harmful, sound := request(fmt.Sprint("harmful-", seed), ""), request(fmt.Sprint("sound-", seed), "")
			for n := range 3 {
				require.True(t, q.Admit(harmful).OK)
				q.crashUnderRequests(fmt.Sprint("u-", n), harmful, sound)
			}
			require.False(t, q.Admit(harmful).OK)
			sent, served := 0, 0
			for start := time.Now(); time.Since(start) < time.Hour; time.Sleep(time.Second) {
				if q.Admit(harmful).OK {
					sent++
					q.crashUnderRequests(fmt.Sprint("later-", sent), harmful)
				}
				if q.Admit(sound).OK {
					served++
					q.ObserveSuccess(sound)
				} else {
					require.Less(t, time.Since(start), uncertainPeriod+uncertainSpread, "sound request refused")
				}
			}
			require.LessOrEqual(t, sent, 2)
			require.Greater(t, served, 3000)
		})
	}
}

// Guards against a sound request that is refused for long because requests that came only
// once crashed its upstreams, and against an account that has another one's refused so.
func TestRequestBesideManyHarmfulOnesIsServed(t *testing.T) {
	for _, beside := range []int{1, 3} { // Harmful requests on each upstream.
		synctest.Test(t, func(t *testing.T) {
			q, _ := newQuarantiner()
			sound := request("sound", "")
			for n := range 4 {
				var running []Request
				for k := range beside {
					running = append(running, request(fmt.Sprint("harmful-", n, "-", k), ""))
				}
				if q.Admit(sound).OK {
					running = append(running, sound)
				}
				q.crashUnderRequests(fmt.Sprint("u-", n), running...)
			}
			time.Sleep(uncertainPeriod + uncertainSpread)
			require.True(t, q.Admit(sound).OK)
			q.ObserveSuccess(sound)
			require.True(t, q.Admit(sound).OK)
		})
	}
}

// Guards against a sound request that is refused for half an hour because an account that
// keeps crashing upstreams with new requests ended the upstream of its trial.
func TestTrialBesideOthersIsRepeated(t *testing.T) {
	for _, tt := range []struct {
		name     string
		separate bool // Another instance ran the others, and reports them later.
	}{
		{"one instance", false},
		{"two instances", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q, _ := newQuarantiner()
				sound := request("sound", "")
				crash := func(n int) {
					u, other := fmt.Sprint("u-", n), request(fmt.Sprint("harmful-", n), "")
					if !tt.separate {
						q.crashUnderRequests(u, sound, other)
						return
					}
					q.crashUnderRequests(u, sound)
					q.Merge(savoryloft.Suspicions{Crashes: []savoryloft.UpstreamCrash{encodeCrash(incarnation{upstream: u}, []Broken{{Request: other}})}}, "peer")
				}
				for n := range 3 {
					crash(n)
				}
				time.Sleep(uncertainPeriod + uncertainSpread)
				require.True(t, q.Admit(sound).Trial)
				crash(3)
				require.LessOrEqual(t, q.Admit(sound).Wait, uncertainPeriod+uncertainSpread)
				time.Sleep(uncertainPeriod + uncertainSpread)
				require.True(t, q.Admit(sound).Trial)
				q.ObserveSuccess(sound)
				require.Equal(t, Admission{OK: true}, q.Admit(sound))
			})
		})
	}
}

// Guards against callers that are told to come back much later than the trial under way ends.
func TestWaitForATrialIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _ := newQuarantiner()
		r := request("sound", "")
		for n := range 3 {
			q.crashUnderRequests(fmt.Sprint("u-", n), r, request(fmt.Sprint("harmful-", n), ""))
		}
		time.Sleep(uncertainPeriod + uncertainSpread)
		require.True(t, q.Admit(r).Trial)
		a := q.Admit(r)
		require.False(t, a.OK)
		require.LessOrEqual(t, a.Wait, trialRetryAfter)
		q.ObserveSuccess(r)
		require.True(t, q.Admit(r).OK)
	})
}

// Guards against several requests that crash upstreams and of which each is taken for the
// cause of the crashes under the others, and against a sound one that is refused for long
// because it ran beside them.
func TestSeveralHarmfulRequestsAreQuarantined(t *testing.T) {
	const (
		count      = 5     // Harmful requests.
		allowed    = 3 + 3 // Crashes under each.
		upstreams  = 4
		steps      = 600
		maxRefused = steps / 10 // Of the sound request.
	)
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			q, _ := newQuarantiner()
			rng := rand.New(rand.NewPCG(seed, 4))
			crashes, refused, sound := map[string]int{}, 0, request("sound", "")
			for step := range steps {
				var running [upstreams][]Request
				for n := range count {
					if r := request(fmt.Sprint("harmful-", n), ""); rng.IntN(3) == 0 && q.Admit(r).OK {
						u := rng.IntN(upstreams)
						running[u] = append(running[u], r)
						crashes[r.Fingerprint()]++
					}
				}
				at := rng.IntN(upstreams)
				switch {
				case !q.Admit(sound).OK:
					refused++
				case len(running[at]) == 0:
					q.ObserveSuccess(sound)
				default:
					running[at] = append(running[at], sound)
				}
				for u, requests := range running {
					for _, r := range requests {
						q.ObserveBroken(savoryloft.RegisteredUpstream{ID: fmt.Sprint("u-", step, "-", u)}, Broken{Request: r, OnProbed: func(bool) {}})
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			for r, n := range crashes {
				require.LessOrEqual(t, n, allowed, "seed %d: %s", seed, r)
			}
			require.LessOrEqual(t, refused, maxRefused, "seed %d", seed)
			require.True(t, q.Admit(sound).OK, "seed %d", seed)
		})
	}
}

// Guards against sound prompt parts that are refused for long because several requests that
// crash upstreams, and some with a part that does, had them.
func TestPartsOfHarmfulRequestsAreServed(t *testing.T) {
	const (
		count      = 4 // Harmful requests, which come with another part each time.
		parts      = 9
		upstreams  = 5
		steps      = 300
		harmfulFor = 80 // Steps.
		settling   = 60 // Steps after these, until all sound requests must be served.
		minServed  = 0.9
	)
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			q, _ := newQuarantiner()
			rng := rand.New(rand.NewPCG(seed, 5))
			part := func() string { return fmt.Sprint("p-", rng.IntN(parts)) }
			asked, served := 0, 0
			for step := range steps {
				var running [upstreams][]Request
				crashed := [upstreams]bool{}
				for n := range count + 1 {
					r := request(fmt.Sprint("harmful-", n), part())
					if n == count {
						r = prompt("harmful " + part())
					}
					if step < harmfulFor && rng.IntN(4) == 0 && q.Admit(r).OK {
						u := rng.IntN(upstreams)
						running[u], crashed[u] = append(running[u], r), true
					}
				}
				for n := range 3 {
					r, u := request(fmt.Sprint("sound-", step, "-", n), part()), rng.IntN(upstreams)
					admitted := q.Admit(r).OK
					if step >= harmfulFor+settling {
						require.True(t, admitted, "seed %d, step %d", seed, step)
					}
					asked++
					switch {
					case !admitted:
					case crashed[u]:
						running[u] = append(running[u], r)
						served++
					default:
						q.ObserveSuccess(r)
						served++
					}
				}
				for u, requests := range running {
					for _, r := range requests {
						if crashed[u] {
							q.ObserveBroken(savoryloft.RegisteredUpstream{ID: fmt.Sprint("u-", step, "-", u)}, Broken{Request: r, OnProbed: func(bool) {}})
						}
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			require.GreaterOrEqual(t, float64(served), minServed*float64(asked), "seed %d", seed)
		})
	}
}

// Guards against trials that together, and with the crashes beyond the third, end more
// upstreams than are allowed, and against a request that is refused for ever after it has
// stopped to crash upstreams.
func TestQuarantinedRequestIsTriedRarely(t *testing.T) {
	const (
		allowed = 3 // Sends after the third crash.
		length  = 72 * time.Hour
	)
	for _, tt := range []struct {
		name    string
		silent  bool // Upstreams give no response and turn out to have ended.
		beside  bool // Another request, which comes only once, runs on each upstream.
		harmful bool // Also after the first quarantine.
	}{
		{"harmful", false, false, true},
		{"harmful, others beside it", false, true, true},
		{"harmful, upstreams that fall silent", true, false, true},
		{"mended", false, false, false},
		{"mended, others beside it", false, true, false},
		{"mended, upstreams that fell silent", true, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q, _ := newQuarantiner()
				r := request("harmful", "a b")
				crashes, served, mended := 0, 0, false
				for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Minute) {
					a := q.Admit(r)
					switch {
					case !a.OK:
						require.Positive(t, a.Wait)
						mended = !tt.harmful
					case mended:
						served++
						q.ObserveSuccess(r)
					case tt.silent:
						crashes++
						q.ObserveSilent(savoryloft.RegisteredUpstream{ID: fmt.Sprint("u-", crashes), StartedAtMs: 1}, r)
						q.Resolve(func(savoryloft.RegisteredUpstream) bool { return true })
					case tt.beside:
						crashes++
						q.crashUnderRequests(fmt.Sprint("u-", crashes), r, request(fmt.Sprint("beside-", crashes), ""))
					default:
						crashes++
						q.crashUnderRequests(fmt.Sprint("u-", crashes), r)
					}
				}
				require.LessOrEqual(t, crashes, 3+allowed)
				if !tt.harmful {
					require.Greater(t, served, 1000)
				}
			})
		})
	}
}

// Guards against instances that each let the request end upstreams.
func TestRequestIsQuarantinedAtAllInstances(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(6, rand.New(rand.NewPCG(seed, 1)))
			harmful, arrivals := request("harmful", []string{"", "a b"}[seed%2]), 0
			for end, u := time.Now().Add(time.Minute), 0; time.Now().Before(end); u++ {
				if q := n.any(); q.Admit(harmful).OK {
					arrivals++
					q.ObserveBroken(savoryloft.RegisteredUpstream{ID: fmt.Sprint("u-", u)}, Broken{Request: harmful, OnProbed: func(bool) {}})
					beside := request(fmt.Sprint("s", n.intN(5)), "a b")
					n.any().ObserveBroken(savoryloft.RegisteredUpstream{ID: fmt.Sprint("u-", u)}, Broken{Request: beside, OnProbed: func(bool) {}})
				}
				time.Sleep(time.Duration(n.intN(500)) * time.Millisecond)
				n.any().ObserveSuccess(request(fmt.Sprint("s", n.intN(5)), "a b"))
			}
			require.LessOrEqual(t, arrivals, 6, "seed %d: three, and those before the others knew", seed)
			for _, q := range n.instances {
				require.False(t, q.Admit(harmful).OK)
				for s := range 5 {
					require.True(t, q.Admit(request(fmt.Sprint("s", s), "a b")).OK, "seed %d", seed)
				}
			}
		})
	}
}

// Guards against an instance that admits a request after seconds although another one,
// which knew more when both decided, has quarantined it for long.
func TestLongerQuarantineIsValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _ := newQuarantiner()
		r := request("harmful", "")
		for n := range 3 {
			q.crashUnderRequests(fmt.Sprint("u-", n), r, request(fmt.Sprint("beside-", n), ""))
		}
		require.LessOrEqual(t, q.Admit(r).Wait, uncertainPeriod+uncertainSpread)
		q.Merge(savoryloft.Suspicions{Verdicts: []savoryloft.PartVerdict{{
			Part: requestPrefix + "harmful", Version: 1, State: int(Quarantined), Strikes: 1, Remaining: int(firstRequestPeriod / time.Millisecond),
		}}}, "peer")
		time.Sleep(uncertainPeriod + uncertainSpread + time.Second)
		require.False(t, q.Admit(r).OK)
	})
}

// Guards against verdicts that are taken for new ones, and passed on, when they come back to
// the instance that sent them.
func TestOwnVerdictsAreNotNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _ := newQuarantiner()
		var mu sync.Mutex
		var sent []savoryloft.PartVerdict
		q.Notify = func(s savoryloft.Suspicions, from string) {
			require.Empty(t, from, "passed on")
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, s.Verdicts...)
		}
		r := request("sound", "")
		for n := range 3 {
			q.crashUnderRequests(fmt.Sprint("u-", n), r, request(fmt.Sprint("harmful-", n), ""))
		}
		time.Sleep(uncertainPeriod + uncertainSpread)
		require.True(t, q.Admit(r).Trial)
		mu.Lock()
		verdicts := sent
		mu.Unlock()
		require.Len(t, verdicts, 2, "Quarantined and Trial")
		q.Merge(savoryloft.Suspicions{Verdicts: verdicts}, "peer")
	})
}

// Guards against clients that fill the memory with requests that crash upstreams.
func TestMemoryOfRequestsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _ := newQuarantiner()
		crash := func(upstream string, broken ...Broken) {
			c := encodeCrash(incarnation{upstream: upstream}, broken)
			q.Merge(savoryloft.Suspicions{Crashes: []savoryloft.UpstreamCrash{c}}, "")
		}
		for n := range maxVerdicts + 200 {
			for k := range 3 {
				time.Sleep(time.Millisecond) // Verdicts of the same moment have no order.
				crash(fmt.Sprintf("u-%d-%d", n, k), Broken{Request: request(fmt.Sprint("r-", n), "")})
			}
		}
		var many []Broken
		for n := range 10 * maxSuspects {
			many = append(many, Broken{Request: request(fmt.Sprint("s-", n), "a")})
		}
		crash("u", many...)
		q.mu.Lock()
		require.LessOrEqual(t, len(q.verdicts), maxVerdicts)
		require.LessOrEqual(t, len(q.crashes), maxCrashes)
		require.LessOrEqual(t, len(q.crashes[incarnation{upstream: "u"}].suspects), maxSuspects)
		require.LessOrEqual(t, len(q.suspected), maxCrashes*maxSuspects)
		q.mu.Unlock()
		require.False(t, q.Admit(request(fmt.Sprint("r-", maxVerdicts+199), "")).OK)
		time.Sleep(requestLifetime + time.Minute)
		q.ObserveHarmless(request("", "a"))
		q.mu.Lock()
		defer q.mu.Unlock()
		require.Empty(t, q.verdicts)
		require.Empty(t, q.crashes)
		require.Empty(t, q.suspected)
		require.Zero(t, q.restricted.Load())
		require.Zero(t, q.restrictedRequests.Load())
		require.Zero(t, q.suspectedRequests.Load())
	})
}

// Guards against fingerprints that are computed for each request although none is
// suspected.
func TestFingerprintIsComputedWhenNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _ := newQuarantiner()
		computed := 0
		r := Request{Parts: prompt("a b").Parts, Fingerprint: func() string {
			computed++
			return "r"
		}}
		q.Admit(r)
		q.ObserveHarmless(r)
		q.ObserveSuccess(r)
		require.Zero(t, computed)
		q.crashUnderRequests("u-0", request("x", ""), r)
		q.ObserveSuccess(r)
		require.Equal(t, 1, computed, "for the crash; a single one needs no clearing")
	})
}

// Guards against requests that are not suspected because their upstreams fell silent, or
// were back before they were probed, and against sound ones that are, because they were
// sent to upstreams that had ended.
func TestUpstreamsThatEndUnseen(t *testing.T) {
	for _, tt := range []struct {
		name    string
		silent  bool
		ends    int  // Upstreams under which the request gets no complete response.
		ended   bool // They turn out to have ended.
		succeed bool // The request succeeds after each.
		refused bool
	}{
		{"broken, back at once", false, 3, true, false, true},
		{"broken, not ended", false, 10, false, false, false},
		{"silent", true, 5, true, false, true},
		{"silent, few", true, 4, true, false, false},
		{"silent, not ended", true, 10, false, false, false},
		{"silent, sound", true, 10, true, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q, _ := newQuarantiner()
				q.Dial = func(context.Context, string) (net.Conn, error) { // The next process accepts connections.
					c, _ := net.Pipe()
					return c, nil
				}
				r := request("r", "a b")
				for n := range tt.ends {
					u := savoryloft.RegisteredUpstream{ID: fmt.Sprint("u-", n), StartedAtMs: 1}
					if tt.silent {
						q.ObserveSilent(u, r)
					} else {
						q.ObserveBroken(u, Broken{Request: r, OnProbed: func(ended bool) { require.False(t, ended) }})
					}
					time.Sleep(time.Second)
					q.Resolve(func(savoryloft.RegisteredUpstream) bool { return tt.ended })
					if tt.succeed {
						q.ObserveSuccess(r)
					}
				}
				require.Equal(t, tt.refused, !q.Admit(r).OK)
				require.True(t, q.Admit(request("other", "a b")).OK)
				time.Sleep(unresolvedLifetime + time.Second)
				q.Resolve(func(savoryloft.RegisteredUpstream) bool { return false })
				require.Empty(t, q.unresolved)
			})
		})
	}
}

// ofAccount returns a request with a fingerprint of its own and prompt parts.
func ofAccount(account, ids string) Request {
	r := prompt(ids)
	r.Account = account
	return r
}

// Guards against an account that gets the requests of another one refused, and against a
// part that each account may try again.
func TestAccountsDoNotQuarantineEachOthersParts(t *testing.T) {
	for _, tt := range []struct {
		name    string
		crashes []string // Accounts whose requests with the part were on the upstreams that ended, in order.
		success string   // Account of a request with the part that succeeds in the end; none if empty.
		refused string   // Accounts, of "a", "b" and "c", whose requests with the part are refused.
	}{
		{"one account", []string{"a", "a", "a"}, "", "a"},
		{"one account, many times", []string{"a", "a", "a", "a", "a", "a"}, "", "a"},
		{"two accounts", []string{"a", "b", "a"}, "", "abc"},
		{"three accounts", []string{"a", "b", "c"}, "", "abc"},
		{"another one later", []string{"a", "a", "a", "b"}, "", "abc"},
		{"another one beside it", []string{"a", "ab", "a"}, "", "a"},
		{"another one beside it, and alone", []string{"ab", "a", "b"}, "", "abc"},
		{"two together each time", []string{"ab", "ab", "ab"}, "", "ab"},
		{"one account, another succeeds", []string{"a", "a", "a"}, "b", "a"},
		{"one account succeeds", []string{"a", "a", "a"}, "a", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q, _ := newQuarantiner()
				for n, accounts := range tt.crashes {
					var requests []Request
					for _, account := range accounts {
						requests = append(requests, ofAccount(string(account), "p"))
					}
					q.crashUnderRequests(fmt.Sprint("u-", n), requests...)
				}
				if tt.success != "" {
					time.Sleep(time.Minute) // The crashes were before.
					q.ObserveSuccess(ofAccount(tt.success, "p"))
				}
				refused := ""
				for _, account := range []string{"a", "b", "c"} {
					if a := q.Admit(ofAccount(account, "p")); !a.OK || a.Trial {
						refused += account
					}
				}
				require.Equal(t, tt.refused, refused)
			})
		})
	}
}

// Guards against a request, or a part, that crashes only some of the upstreams and is
// cleared by its successes on the others for ever.
func TestSuspectThatCrashesSomeUpstreams(t *testing.T) {
	for _, tt := range []struct {
		name     string
		request  func() Request
		maxSends int
	}{
		{"request", func() Request { return request("harmful", "") }, 60},
		{"part", func() Request { return prompt("harmful") }, 250},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(50) {
				synctest.Test(t, func(t *testing.T) {
					q, _ := newQuarantiner()
					rng := rand.New(rand.NewPCG(seed, 3))
					sends, crashes := 0, 0
					for ; q.Admit(tt.request()).OK; sends++ {
						require.Less(t, sends, tt.maxSends, "seed %d: %d crashes", seed, crashes)
						if rng.IntN(2) == 0 {
							crashes++
							q.crashUnderRequests(fmt.Sprint("u-", sends), tt.request())
						} else {
							q.ObserveSuccess(tt.request())
						}
						time.Sleep(3 * time.Second)
					}
				})
			}
		})
	}
}
