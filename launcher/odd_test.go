package launcher

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/platform/standin"
)

// lines are the lines that instances have logged.
type lines struct {
	mu   sync.Mutex
	list []string
}

// count returns the number of lines that contain all texts.
func (l *lines) count(texts ...string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.list {
		matches := true
		for _, text := range texts {
			matches = matches && strings.Contains(line, text)
		}
		if matches {
			n++
		}
	}
	return n
}

// longest returns the length of the longest line.
func (l *lines) longest() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.list {
		n = max(n, len(line))
	}
	return n
}

// recordLines makes the cluster's instances log to the result.
func (c *cluster) recordLines() *lines {
	l := &lines{}
	c.logger = funcr.New(func(_, args string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.list = append(l.list, args)
	}, funcr.Options{})
	return l
}

// registryEntry returns the entry of an upstream of service s. Each replacement is a pair of
// old and new text.
func registryEntry(address string, seqNo int, replacements ...string) []byte {
	entry := fmt.Sprintf(`{"service":"s","address":%q,"zone":"a","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"born":1764900000000,"seq_no":%d}`, address, seqNo)
	return []byte(strings.NewReplacer(replacements...).Replace(entry))
}

// hasUpstream reports whether an instance knows an upstream.
func (i *instance) hasUpstream(id string) bool {
	for _, u := range i.launcher.watcher.Upstreams("s") {
		if u.ID == id {
			return true
		}
	}
	return false
}

// awaitUpstream waits until all instances know an upstream, or until none does.
func (c *cluster) awaitUpstream(id string, known bool) {
	for _, i := range c.instances {
		require.Eventually(c.t, func() bool { return i.hasUpstream(id) == known }, eventuallyTimeout, 10*time.Millisecond, "%s: %t", id, known)
	}
}

const nesting = 100_000 // Far deeper than any entry; a recursive reader would run out of stack.

// Guards against instances that end, lose their links, stop following the registry or use an
// upstream that is none because another writer left an odd entry there.
func TestOddRegistryEntries(t *testing.T) {
	const (
		writes        = 3 // Of each entry, like heartbeats.
		maxHeapGrowth = 32 << 20
		maxLineBytes  = 2000
	)
	c := newCluster(t)
	logged := c.recordLines()
	c.addEngine(nil)
	c.start(longRevocation)
	c.start(longRevocation)
	for _, i := range c.instances {
		c.waitForUpstreams(i, 1)
	}
	require.Eventually(t, func() bool { return logged.count("link up") >= 2 }, eventuallyTimeout, 10*time.Millisecond)
	time.Sleep(time.Second)
	linksDown := logged.count("link down")
	good, err := http.NewRequest(http.MethodGet, "http://"+c.instances[0].launcher.watcher.Upstreams("s")[0].Address, nil)
	require.NoError(t, err)
	address := good.URL.Host
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for n, tt := range []struct {
		name         string
		key          string // Contains odd-N if empty.
		replacements []string
		value        string // Instead of the replacements.
	}{
		{name: "port beyond the last one", replacements: []string{`","zone"`, `9999","zone"`}},
		{name: "negative port", replacements: []string{`"address":"`, `"address":"10.0.0.1:-1","other":"`}},
		{name: "no port", replacements: []string{`"address":"`, `"address":"10.0.0.1","other":"`}},
		{name: "host name", replacements: []string{`"address":"`, `"address":"host.example:80","other":"`}},
		{name: "negative slots", replacements: []string{`"slots":8`, `"slots":-5`}},
		{name: "huge slots", replacements: []string{`"slots":8`, `"slots":1000000000000000000`}},
		{name: "slots beyond any number", replacements: []string{`"slots":8`, `"slots":1e999`}},
		{name: "warm-up beyond any duration", replacements: []string{`"cold_left_ms":0`, `"cold_left_ms":1e300`}},
		{name: "start before 1970", replacements: []string{`"born":1764900000000`, `"born":-1`}},
		{name: "start beyond any date", replacements: []string{`"born":1764900000000`, `"born":9223372036854775807`}},
		{name: "number beyond any number", replacements: []string{`"seq_no":`, `"seq_no":1` + strings.Repeat("0", 400)}},
		{name: "field of another type", replacements: []string{`"zone":"a"`, `"zone":7`}},
		{name: "field missing", replacements: []string{`"zone":"a",`, ``}},
		{name: "unknown state", replacements: []string{`"ready"`, `"` + strings.Repeat("odd", 100_000) + `"`}},
		{name: "nested in a field", replacements: []string{`"zone":`, `"more":` + strings.Repeat("[", nesting) + strings.Repeat("]", nesting) + `,"zone":`}},
		{name: "nested", value: strings.Repeat(`{"service":`, nesting)},
		{name: "not JSON", value: "\x00\xff\xfe"},
		{name: "null", value: "null"},
		{name: "large", value: `{"service":"` + strings.Repeat("x", 1<<20) + `"`},
		{name: "ID with a line break", key: "odd\r\nX-Tenant: other"},
		{name: "ID with a space", key: "odd one"},
		{name: "ID that is not UTF-8", key: "odd\xff"},
		{name: "longest ID", key: "odd\n" + strings.Repeat("x", 251)},
	} {
		key := tt.key
		if key == "" {
			key = fmt.Sprintf("odd-%02d", n)
		}
		odd := &standin.Engine{ID: key}
		odd.SetLimit("100")
		server := c.serve(odd)
		for k := range writes {
			value := registryEntry(server.Listener.Addr().String(), k, tt.replacements...)
			if tt.value != "" {
				value = []byte(tt.value)
			}
			c.log.Set(savoryloft.TopicRegistry, key, value)
		}
		marker := fmt.Sprintf("marker-%02d", n)
		c.log.Set(savoryloft.TopicRegistry, marker, registryEntry(address, 1))
		c.awaitUpstream(marker, true)
		for _, i := range c.instances {
			require.False(t, i.hasUpstream(key), tt.name)
			require.True(t, i.hasUpstream("i-0"), tt.name)
			require.Len(t, i.launcher.watcher.Upstreams("s"), 2, tt.name)
		}
		c.log.Set(savoryloft.TopicRegistry, marker, nil)
		c.awaitUpstream(marker, false)
		for range 4 {
			for _, i := range c.instances {
				require.Equal(t, http.StatusOK, c.call(i, "once", "key-1").status, tt.name)
			}
		}
		require.Empty(t, odd.Requests(), tt.name)
		if tt.key == "" {
			require.Equal(t, len(c.instances), logged.count("malformed record skipped", `"`+key+`"`), "%s: once at each instance", tt.name)
		}
		server.CloseClientConnections()
		server.Close()
	}
	require.Equal(t, linksDown, logged.count("link down"))
	require.Less(t, logged.longest(), maxLineBytes)
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(maxHeapGrowth))
}

// Guards against links that end because an upstream's start, which instances tell each other
// with its limit, is out of range.
func TestLimitOfAnUpstreamWithAnOddStart(t *testing.T) {
	c := newCluster(t)
	logged := c.recordLines()
	c.start(longRevocation)
	c.start(longRevocation)
	e := &standin.Engine{ID: "odd"}
	e.SetLimit("100")
	address := c.serve(e).Listener.Addr().String()
	require.Eventually(t, func() bool { return logged.count("link up") >= 2 }, eventuallyTimeout, 10*time.Millisecond)
	c.log.Set(savoryloft.TopicRegistry, "odd", registryEntry(address, 1, `"born":1764900000000`, `"born":-1`))
	time.Sleep(2 * time.Second)
	linksDown := logged.count("link down")
	var statuses []int
	for _, i := range c.instances {
		statuses = append(statuses, c.call(i, "once", "key-1").status)
	}
	time.Sleep(2 * time.Second)
	require.Equal(t, linksDown, logged.count("link down"))
	require.Equal(t, []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable}, statuses)
	require.Empty(t, e.Requests())
}

// Guards against the use of an upstream whose entry has turned odd, and against the loss of
// one whose entry is good again.
func TestEntryThatTurnsOdd(t *testing.T) {
	c := newCluster(t)
	c.addEngine(nil)
	c.addEngine(nil)
	c.start(longRevocation)
	c.start(longRevocation)
	addresses := map[string]string{}
	for _, i := range c.instances {
		c.waitForUpstreams(i, len(c.engines))
		for _, u := range i.launcher.watcher.Upstreams("s") {
			addresses[u.ID] = u.Address
		}
	}
	for n, odd := range []string{`"slots":-8`, `"slots":` + strings.Repeat("9", 40), `"slots":` + strings.Repeat("[", nesting)} {
		turning, other := c.engines[n%2], c.engines[1-n%2]
		c.log.Set(savoryloft.TopicRegistry, other.ID, registryEntry(addresses[other.ID], n))
		c.awaitUpstream(other.ID, true)
		c.log.Set(savoryloft.TopicRegistry, turning.ID, registryEntry(addresses[turning.ID], n, `"slots":8`, odd))
		c.awaitUpstream(turning.ID, false)
		turned := time.Now()
		for range 10 {
			for _, i := range c.instances {
				require.Equal(t, http.StatusOK, c.call(i, "once", "key-1").status)
			}
		}
		require.Zero(t, requestsSince(turning, turned))
		require.Equal(t, 10*len(c.instances), requestsSince(other, turned))
	}
}

// Guards against links that end, and against instances that count ones that are none, because
// of an odd record in the member list.
func TestOddMemberRecords(t *testing.T) {
	record := func(replacements ...string) string {
		return strings.NewReplacer(replacements...).Replace(fmt.Sprintf(
			`{"Instance":"odd","Incarnation":%d,"FailureDomain":"a","Address":"127.0.0.1:9","Power":1000,"Protocol":2,"WrittenAt":%d,"Suspicions":{}}`,
			time.Now().UnixMilli(), time.Now().UnixMilli()))
	}
	for _, tt := range []struct{ name, key, value string }{
		{"no address", "odd", record(`127.0.0.1:9`, ``)},
		{"address without a port", "odd", record(`127.0.0.1:9`, `127.0.0.1`)},
		{"port beyond the last one", "odd", record(`127.0.0.1:9`, `127.0.0.1:99999`)},
		{"port by name", "odd", record(`127.0.0.1:9`, `127.0.0.1:http`)},
		{"no name", "odd", record(`"Instance":"odd"`, `"Instance":""`)},
		{"name of another instance", "odd", record(`"Instance":"odd"`, `"Instance":"entry-0"`, `"Incarnation":1`, `"Incarnation":2`)},
		{"negative start", "odd", record(`"Incarnation":`, `"Incarnation":-`)},
		{"start beyond any date", "odd", record(`"Incarnation":`, `"Incarnation":99`)},
		{"start beyond any number", "odd", record(`"Incarnation":`, `"Incarnation":999999`)},
		{"negative power", "odd", record(`1000`, `-1`)},
		{"power beyond any number", "odd", record(`1000`, `1e999`)},
		{"power that is not a number", "odd", record(`1000`, `NaN`)},
		{"nested", "odd", strings.Repeat("[", nesting)},
		{"nested in a field", "odd", record(`"Protocol":2`, `"Protocol":2,"More":`+strings.Repeat("[", nesting)+strings.Repeat("]", nesting))},
		{"null", "odd", "null"},
		{"not JSON", "odd", "\xff"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			logged := c.recordLines()
			c.addEngine(nil)
			c.log.Set(savoryloft.TopicMembers, tt.key, []byte(tt.value))
			for range 3 {
				c.waitForUpstreams(c.start(longRevocation), 1)
			}
			require.Eventually(t, func() bool { return logged.count("link up") >= 6 }, eventuallyTimeout, 10*time.Millisecond)
			time.Sleep(time.Second)
			linksDown := logged.count("link down")
			time.Sleep(2 * time.Second)
			require.Equal(t, linksDown, logged.count("link down"))
			for _, i := range c.instances {
				require.Equal(t, 3, i.launcher.linker.InstanceCount())
				for _, m := range i.launcher.linker.Members() {
					require.True(t, m.Live, "%s at %s", m.Instance, m.Address)
					require.NotEqual(t, "127.0.0.1:9", m.Address)
				}
				require.Equal(t, http.StatusOK, c.call(i, "once", "key-1").status)
			}
		})
	}
}

// Guards against an odd configuration in force, and against instances that end or follow no
// later one because of it.
func TestOddConfigurationRecords(t *testing.T) {
	c := newCluster(t)
	logged := c.recordLines()
	c.addEngine(nil)
	for range 2 {
		c.waitForUpstreams(c.start(longRevocation), 1)
	}
	inForce := c.version
	for n, odd := range []string{
		strings.Repeat("[", nesting),
		fmt.Sprintf(`{"version":%d,"routes":[{"name":"x","route_kind":"streaming","timeout_ms":-1}]}`, inForce+1),
		fmt.Sprintf(`{"version":%d,"limits":{"idle_timeout_ms":1e999}}`, inForce+1),
		`{"version":9223372036854775807}`,
		`{"version":"8"}`,
		"null",
		"\xff",
	} {
		before := logged.count("malformed record skipped", "Configuration")
		c.log.Set(savoryloft.TopicConfiguration, "config", []byte(odd))
		require.Eventually(t, func() bool { return logged.count("malformed record skipped", "Configuration") > before }, eventuallyTimeout, 10*time.Millisecond, odd[:min(len(odd), 40)])
		time.Sleep(500 * time.Millisecond)
		for _, i := range c.instances {
			require.Equal(t, inForce, i.launcher.watcher.Version())
			require.Equal(t, http.StatusOK, c.call(i, "once", "key-1").status)
		}
		require.LessOrEqual(t, logged.count("malformed record skipped", "Configuration"), len(c.instances)*(n+1), "once at each instance")
	}
	c.version += 10
	c.writeConfiguration()
	for _, i := range c.instances {
		require.Eventually(t, func() bool { return i.launcher.watcher.Version() == c.version }, eventuallyTimeout, 10*time.Millisecond)
	}
}

// Guards against usage that is reported no more after an odd record in the duties topic.
func TestUsageGoesOnAfterAnOddDutyRecord(t *testing.T) {
	c := newCluster(t)
	c.addEngine(nil)
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	reported := func() int {
		reports, _ := c.duties.Snapshot()
		return len(reports)
	}
	require.Eventually(t, func() bool { return reported() > 0 }, eventuallyTimeout, 10*time.Millisecond)
	odd := []byte(`{"Instance":"odd","Incarnation":7,"Sequence":1,"Kind":"Figures","Figures":{"Window":9000000000000000000,"Counts":{"account":1}}}`)
	for at := 0; ; at++ {
		if _, err := c.log.AppendAt(t.Context(), savoryloft.TopicDuties, at, odd); err == nil {
			break
		}
	}
	time.Sleep(3 * time.Second) // For windows that were committed before.
	before := reported()
	require.Equal(t, http.StatusOK, c.call(i, "once", "key-1").status)
	require.Eventually(t, func() bool { return reported() >= before+2 }, eventuallyTimeout, 10*time.Millisecond)
}
