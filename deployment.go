package savoryloft

import "time"

// Deployment is what a process of a prepared deployment learns from its
// settings: its own place, its addresses and limits, and the bounds that the
// deployment sets.
type Deployment struct {
	Instance      string
	FailureDomain string
	Listen        DeploymentListen
	Seeds         []string // Addresses of instances that may be up, for links.
	Limits        DeploymentLimits
	Bounds        DeploymentBounds
	LogAddress    string // Address of the platform's log.
	DutyAddress   string // Address for orders and usage reports; empty when there are none.
	Duties        DeploymentDuties
	Heartbeat     time.Duration // Interval at which upstreams renew their registration.
}

// DeploymentListen holds the addresses that an instance listens on.
type DeploymentListen struct {
	Callers   string
	Readiness string
	Links     string // For the other instances.
	Metrics   string
}

// DeploymentLimits bounds what the process may use.
type DeploymentLimits struct {
	MemoryBytes int64
	Cores       int
	Power       int // Processor time that it may use, in thousandths of a core.
}

// DeploymentBounds are the bounds of a deployment that decisions depend on.
type DeploymentBounds struct {
	Revocation           time.Duration // A key is refused at the latest this long after its withdrawal.
	ConfigurationInForce time.Duration // A new configuration is in force at the latest this long after its acceptance.
	Drain                time.Duration // A leaving upstream gets new work for at most this long.
	Grace                time.Duration // Time from SIGTERM to SIGKILL.
	Lease                time.Duration // Shortest time between terms of one holder.
	UsageWindow          time.Duration
	RetryRatio           float64 // Repeated sends allowed for each request, over all instances.
	RetryWindow          time.Duration
	RetrySlack           int // Repeated sends allowed in a window besides, over all instances.
}

// DeploymentDuties names the duties that one instance at a time carries out.
type DeploymentDuties struct {
	UsageReports bool
	Orders       bool
}
