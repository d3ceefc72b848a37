package savoryloft

// UsageScope selects the usage counts that an instance sends to a peer.
type UsageScope int

// Values of UsageScope.
const (
	OwnUsage     UsageScope = iota // Counts of this incarnation of this instance.
	RelayedUsage                   // Own counts and those that this instance relays.
	AllUsage
)
