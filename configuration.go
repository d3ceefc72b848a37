package savoryloft

import "time"

// Configuration is a complete configuration that an operator has published to
// a deployment.
type Configuration struct {
	Version  int
	Routes   []PathRoute
	Services []UpstreamService
	Limits   CallerLimits
	// Accounts is nil when requests need no key.
	Accounts []KeyedAccount
}

// CallKind says whether the requests of a route may be retried after they may
// have run.
type CallKind int

// Kinds of calls.
const (
	// NonIdempotentCall runs at most once.
	NonIdempotentCall CallKind = iota
	// IdempotentCall may run more than once.
	IdempotentCall
	// StreamingCall is answered by a series of events. It runs at most once
	// unless its route is resumable.
	StreamingCall
)

// String returns the kind for logs.
func (k CallKind) String() string {
	return [...]string{"NonIdempotent", "Idempotent", "Streaming"}[k]
}

// PathRoute selects requests by host and path prefix.
type PathRoute struct {
	Name                   string
	Host                   string
	Prefix                 string // Begins and ends with a slash.
	Kind                   CallKind
	Timeout                time.Duration // Maximum time until a request is answered.
	Objective              time.Duration // Time to the answer, or to the first event, within which a request earns full credit.
	EventIntervalObjective time.Duration // Longest time between two events that counts as on time.
	Rank                   int           // Priority; 0 is the highest.
	Shares                 []ServiceShare
	MaxAttempts            int // Maximum number of upstreams on which a request may run.
	Public                 bool
	Sticky                 bool // Requests share prompt parts and benefit from running on the same upstream.
	Resumable              bool
	Regions                []string // Regions that requests must not leave; nil if they may go anywhere.
}

// ServiceShare is one service's share of a route's requests.
type ServiceShare struct {
	Service string
	Weight  int
}

// UpstreamService is a group of upstreams that serve the same requests.
type UpstreamService struct {
	Name           string
	MaxConnections int // Maximum number of connections to one upstream, over all instances.
	Engine         *EngineTraits
	Scaling        *ScalingTraits
	WarmUpTime     time.Duration // For which an upstream is cold after its start; 0 if it never is.
	WarmUpRate     float64       // Requests a second that a cold upstream takes from all instances; 0 if there is no limit.
}

// EngineTraits describes the capacity of each inference engine of a service.
type EngineTraits struct {
	Slots        int           // Number of requests that run concurrently.
	MemoryTokens int           // Capacity of the KV cache in tokens.
	TokenBytes   int           // Size of one token in the KV cache; 0 if unknown.
	LinkRate     float64       // Rate at which engines transfer cached tokens to each other, in bytes a second; 0 if they do not.
	EventTokens  int           // Output tokens of one event of a stream; 0 if unknown.
	CacheReaders int           // Long polls for changes of its cache that an engine accepts at a time; 0 if none.
	MaxPin       time.Duration // Longest time for which a prompt can be pinned in the cache; 0 if it cannot be.
}

// ScalingTraits holds the limits and prices that the scaling of a service
// observes. Counts are for each failure domain.
type ScalingTraits struct {
	Min                   int
	Max                   int
	BootTime              time.Duration
	ReclaimablePriceRatio float64            // Price of a reclaimable upstream as a fraction of the regular price.
	Prices                map[string]float64 // By failure domain.
}

// CallerLimits holds the size limits and timeouts for callers' requests and
// connections.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// KeyedAccount is a client account with its valid API keys.
type KeyedAccount struct {
	Name string
	Keys []string
	// Rank takes precedence over the route's rank when HasRank is set.
	Rank    int
	HasRank bool
	Regions []string // Regions that the account's requests must not leave; nil if they may go anywhere.
}

// RegisteredUpstream is an upstream's own entry in the registry.
type RegisteredUpstream struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	Evacuated     bool // Its failure domain is evacuated, so it must not get further requests.
	Reclaimable   bool
	WarmUp        time.Duration // Registered warm-up time, during which the upstream is slower.
	WarmUpEnd     time.Duration // Uptime at which WarmUp ends, counted from when this instance received the entry; 0 if none was registered.
	StartedAtMs   int           // Start time of the upstream, as Unix time in milliseconds.
	Version       string        // Version of the upstream's software; empty if it is not registered.
}
