package savoryloft

import "time"

// Configuration is a whole document that an operator has put in force on a
// deployment.
type Configuration struct {
	Version  int
	Routes   []PathRoute
	Services []UpstreamService
	Limits   CallerLimits
	// Accounts is nil when requests need no key.
	Accounts []KeyedAccount
}

// CallKind tells what may be repeated of a route's requests.
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
	Name           string
	Host           string
	Prefix         string // Begins and ends with a slash.
	Kind           CallKind
	Timeout        time.Duration // Longest time that a caller is kept waiting.
	Objective      time.Duration // Time to the answer, or to the first event, that earns full credit.
	PauseObjective time.Duration // Longest pause between events that is on time.
	Rank           int           // 0 is the most urgent.
	Shares         []ServiceShare
	MaxAttempts    int // Most upstreams that one request may run on.
	Public         bool
	Sticky         bool // Requests carry prompt parts that are worth keeping together.
	Resumable      bool
}

// ServiceShare is one service's share of a route's requests.
type ServiceShare struct {
	Service string
	Weight  int
}

// UpstreamService is a group of upstreams that serve the same requests.
type UpstreamService struct {
	Name           string
	MaxConnections int // Most connections to one upstream from all instances.
	Engine         *EngineTraits
	Scaling        *ScalingTraits
}

// EngineTraits describes the model engines of a service.
type EngineTraits struct {
	Slots        int // Requests that run at once.
	MemoryTokens int // KV memory in tokens.
}

// ScalingTraits bounds the orders of upstreams of a service. All counts are
// for each failure domain.
type ScalingTraits struct {
	Min             int
	Max             int
	Boot            time.Duration
	ReclaimablePart float64            // Price of a reclaimable upstream as a part of the price of another.
	Prices          map[string]float64 // By failure domain.
}

// CallerLimits bounds what a caller may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// KeyedAccount is a client account with the keys that are valid for it.
type KeyedAccount struct {
	Name string
	Keys []string
	// Rank takes precedence over the route's rank when HasRank is set.
	Rank    int
	HasRank bool
}

// RegisteredUpstream is an upstream as it describes itself in the registry.
type RegisteredUpstream struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	Reclaimable   bool
	WarmIn        time.Duration // Time for which the upstream stays slow after its start.
	Born          int           // Unix time of the upstream's start in milliseconds.
}
