package savoryloft

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Step names the part of a request's path, or of a background duty, at which
// an error arose.
type Step string

// Steps of a request and of the background duties.
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

// Run tells a caller whether its request can have run on an upstream.
type Run string

// Values of Run.
const (
	// RunNotRun means that no byte of the request left for an upstream.
	RunNotRun Run = "NotRun"
	// RunUnknown means that the request may have run.
	RunUnknown Run = "Unknown"
)

// Error is an error of the request path. It carries the step and the peer at
// which it arose and what the caller is told.
type Error struct {
	Step       Step
	Peer       string        // Address or name of the other side; empty when there is none.
	StatusCode int           // HTTP status that the caller gets.
	Code       string        // Machine-readable reason.
	Message    string        // Reason for people, free of secrets.
	Run        Run           // Empty when the request could not have run at all.
	RetryAfter time.Duration // When the caller may ask again; zero when it should not.
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

// Conditions that callers of the interfaces tell apart with errors.Is.
const (
	// ErrExpired says that the records asked for are no longer kept.
	ErrExpired = errors.ConstError("records at this offset have expired; start from a snapshot")
	// ErrUnavailable says that the service refused or could not be reached, and
	// that the call had no effect.
	ErrUnavailable = errors.ConstError("service is unavailable")
	// ErrUnknownOutcome says that the call may or may not have taken effect.
	ErrUnknownOutcome = errors.ConstError("answer was lost; the call may have taken effect")
	// ErrFenced says that the target has seen a higher fencing number.
	ErrFenced = errors.ConstError("fencing number is too old")
	// ErrNoCapacity says that no upstream of the wanted kind is to be had.
	ErrNoCapacity = errors.ConstError("no upstream of this kind is available")
	// ErrNotFound says that the target does not know the ID asked for.
	ErrNotFound = errors.ConstError("not found")
	// ErrLeaseLost says that the lease is not held, or not for long enough.
	ErrLeaseLost = errors.ConstError("lease is not held for long enough")
	// ErrKeyWithdrawn is the cause with which requests end whose key was withdrawn.
	ErrKeyWithdrawn = errors.ConstError("key was withdrawn")
	// ErrPreempted is the cause with which an attempt ends that yields its slot to
	// a higher tier.
	ErrPreempted = errors.ConstError("preempted by a higher tier")
)
