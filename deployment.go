package savoryloft

import "time"

// Deployment holds the boot settings of a process: its instance and failure
// domain, its addresses and resource limits, and the limits that hold for the
// whole deployment.
type Deployment struct {
	Instance      string
	FailureDomain string
	Regions       map[string]string // Region of each failure domain.
	Listen        DeploymentListen
	Seeds         []string // Addresses of instances to which the first links are opened; some may be down.
	Limits        DeploymentLimits
	Bounds        DeploymentBounds
	LogAddress    string // Address of the platform's log.
	DutyAddress   string // Address that receives orders and usage reports; empty when neither is sent.
	Duties        DeploymentDuties
	Bootstrap     bool          // All instances start now, for the first time.
	Heartbeat     time.Duration // Interval at which upstreams renew their registration.
}

// DeploymentListen holds the addresses that an instance listens on.
type DeploymentListen struct {
	Callers   string
	Readiness string
	Links     string // Accepts links from the other instances.
	Metrics   string
	Detours   string // Accepts requests that other instances send on; none are taken if empty.
}

// DeploymentLimits holds the resource limits of the process.
type DeploymentLimits struct {
	MemoryBytes   int64
	Cores         int
	CPUMillicores int // Limit on processor time, in thousandths of a core.
	Descriptors   int // Limit on open file descriptors; 0 if unknown.
}

// DeploymentBounds holds the time limits and the retry budget of a deployment.
type DeploymentBounds struct {
	Revocation           time.Duration // Maximum time from the withdrawal of a key until requests with it are refused.
	ConfigurationInForce time.Duration // Maximum time from the acceptance of a configuration until it is in force.
	Drain                time.Duration // Maximum time for which a draining upstream is still sent new requests.
	Grace                time.Duration // Time from SIGTERM to SIGKILL.
	LeaseTTL             time.Duration // TTL of the lease; unless it is released, the minimum time before another instance takes it over.
	UsageWindow          time.Duration
	RetryRatio           float64 // Retries allowed for each request, over all instances.
	RetryWindow          time.Duration
	RetrySlack           int           // Retries allowed in each window in addition to RetryRatio, over all instances.
	Evacuation           time.Duration // Maximum time from the start of an evacuation until its failure domain gets no more requests.
	// A cold upstream gets in no second more requests than its service's WarmUpRate times
	// WarmUpOverage plus WarmUpSlack, over all instances.
	WarmUpOverage float64
	WarmUpSlack   float64
}

// DeploymentDuties selects the background duties that the lease holder carries
// out.
type DeploymentDuties struct {
	UsageReports bool
	Orders       bool
}
