package savoryloft

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Step names the stage of request processing, or the background duty, in which
// an error occurred.
type Step string

// Stages of request processing and background duties.
const (
	StepReceive      Step = "Receive"
	StepAuthenticate Step = "Authenticate"
	StepRoute        Step = "Route"
	StepJournal      Step = "Journal"
	StepQueue        Step = "Queue"
	StepDispatch     Step = "Dispatch"
	StepAttempt      Step = "Attempt"
	StepFollow       Step = "Follow"
	StepLease        Step = "Lease"
	StepOrder        Step = "Order"
	StepReport       Step = "Report"
	StepPeer         Step = "Peer"
)

// Run reports to a caller whether its request may have run on an upstream.
type Run string

// Values of Run.
const (
	// RunNotRun means that no byte of the request was sent to an upstream.
	RunNotRun Run = "NotRun"
	// RunUnknown means that the request may have run.
	RunUnknown Run = "Unknown"
)

// Error is an error of request processing. It holds the step and the peer at
// which the error occurred, and the answer that the caller receives.
type Error struct {
	Step       Step
	Peer       string        // Address or name of the remote end; empty when there is none.
	StatusCode int           // HTTP status of the answer to the caller.
	Code       string        // Machine-readable reason.
	Message    string        // Human-readable reason; it must not contain secrets.
	Run        Run           // Empty when the request could not have run at all.
	RetryAfter time.Duration // Delay after which the caller may retry; zero when it should not.
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s", e.Step, e.Message)
	if e.Peer != "" {
		s = fmt.Sprintf("%s (peer %s): %s", e.Step, e.Peer, e.Message)
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Errors that callers of the interfaces distinguish with errors.Is.
const (
	// ErrExpired means that the requested records are no longer retained.
	ErrExpired = errors.ConstError("records at this offset have expired; start from a snapshot")
	// ErrUnavailable means that the service refused or could not be reached, and
	// that the call had no effect.
	ErrUnavailable = errors.ConstError("service is unavailable")
	// ErrUnknownOutcome means that the call may or may not have taken effect.
	ErrUnknownOutcome = errors.ConstError("answer was lost; the call may have taken effect")
	// ErrFenced means that the target has seen a higher fencing number.
	ErrFenced = errors.ConstError("fencing number is too old")
	// ErrNoCapacity means that no upstream of the requested kind is available.
	ErrNoCapacity = errors.ConstError("no upstream of this kind is available")
	// ErrNotFound means that the target has no entry for the requested ID.
	ErrNotFound = errors.ConstError("not found")
	// ErrLeaseLost means that the lease is not held, or expires too soon.
	ErrLeaseLost = errors.ConstError("lease is not held for long enough")
	// ErrKeyWithdrawn is the cancellation cause of requests whose key was withdrawn.
	ErrKeyWithdrawn = errors.ConstError("key was withdrawn")
	// ErrStopping is the cancellation cause of requests that are in progress when the
	// instance ends.
	ErrStopping = errors.ConstError("instance is stopping")
	// ErrPreempted is the cancellation cause of an attempt whose slot is given to a
	// request of a higher tier.
	ErrPreempted = errors.ConstError("preempted by a higher tier")
)
