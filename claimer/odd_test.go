package claimer

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/faker"
)

// Guards against a lease or figures that do not go on, and against facts that peers refuse,
// because of an odd record in the duties topic.
func TestOddDutyRecords(t *testing.T) {
	const window = 353445120
	record := func(rest string) string { return `{"Instance":"odd","Incarnation":7,"Sequence":1,` + rest + `}` }
	for _, tt := range []struct{ name, value string }{
		{"nested", strings.Repeat("[", 100_000)},
		{"nested in a field", record(`"Kind":"Renewal","More":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000))},
		{"null", "null"},
		{"empty", ""},
		{"not JSON", "\xff"},
		{"unknown kind", record(`"Kind":"Odd"`)},
		{"claim of no instance", record(`"Kind":"Claim"`)},
		{"release of no instance", record(`"Kind":"Release"`)},
		{"start beyond any date", `{"Instance":"odd","Incarnation":9223372036854775807,"Sequence":1,"Kind":"Claim"}`},
		{"negative sequence", `{"Instance":"entry-0","Incarnation":1,"Sequence":-1,"Kind":"Renewal"}`},
		{"figures without a window", record(`"Kind":"Figures","Figures":{"Counts":{}}`)},
		{"figures without an object", record(`"Kind":"Figures"`)},
		{"figures of a negative window", record(`"Kind":"Figures","Figures":{"Window":-1,"Counts":{"x":1}}`)},
		{"figures of a later window", record(`"Kind":"Figures","Figures":{"Window":9000000000000000000,"Counts":{"x":1}}`)},
		{"figures of a window next year", record(`"Kind":"Figures","Figures":{"Window":360000000,"Counts":{"x":1}}`)},
		{"figures beyond any number", record(`"Kind":"Figures","Figures":{"Window":1e999,"Counts":{"x":1}}`)},
		{"negative figures", record(`"Kind":"Figures","Figures":{"Window":353445119,"Counts":{"x":-1}}`)},
		{"huge figures", record(`"Kind":"Figures","Figures":{"Window":353445119,"Counts":{"x":9223372036854775807}}`)},
		{"partial counts of a later window", record(`"Kind":"Renewal","Partials":[{"Window":9000000000000000000,"Sources":["odd/7"],"Counts":{"x":1}}]`)},
		{"negative partial counts", record(`"Kind":"Renewal","Partials":[{"Window":353445122,"Sources":["odd/7"],"Counts":{"x":-9}}]`)},
		{"negative size", record(`"Kind":"Size","Size":{"Service":"s","Upstreams":-5}`)},
		{"huge size", record(`"Kind":"Size","Size":{"Service":"s","Upstreams":9223372036854775807}`)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer synctest.Wait()
				defer cancel()
				log := &faker.Log{}
				cl := buildCluster(2, log)
				for _, c := range cl.claimers {
					c.MaxWindow = func() int { return window + 1000 }
				}
				cl.run(ctx)
				time.Sleep(2 * time.Second)
				counts := map[string]int{"x": 3}
				require.NoError(t, cl.claimers[0].CommitCounts(ctx, window, counts))
				require.NoError(t, cl.claimers[0].SetSize(ctx, "s", 4))
				for at := 0; ; at++ {
					_, err := log.AppendAt(ctx, savoryloft.TopicDuties, at, []byte(tt.value))
					if err == nil {
						break
					}
					require.ErrorIs(t, err, savoryloft.ErrConflict)
				}
				time.Sleep(4 * ttl)
				held := cl.holders()
				require.Len(t, held, 1)
				require.NoError(t, cl.claimers[held[0]].CommitCounts(ctx, window+1, counts))
				time.Sleep(2 * time.Second)
				newcomer := &Claimer{Log: log, Instance: "entry-9", TTL: ttl, MaxWindow: cl.claimers[0].MaxWindow, Logger: cl.claimers[0].Logger}
				for _, c := range append(cl.claimers, newcomer) {
					require.NoError(t, c.readToEnd(ctx, 0))
					require.Equal(t, window+1, c.LastWindow())
					for _, w := range []int{window, window + 1} {
						committed, ok := c.CommittedCounts(w)
						require.True(t, ok)
						require.Equal(t, counts, committed)
					}
					size, _ := c.Size("s")
					require.Equal(t, 4, size)
					_, ok := c.PartialCounts(window + 2)
					require.False(t, ok)
					require.NoError(t, c.Facts().Check(), "peers refuse it")
				}
			})
		})
	}
}
