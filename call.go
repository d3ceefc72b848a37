package savoryloft

import (
	"net/http"
	"time"
)

// HeaderField is one header field of a request.
type HeaderField struct {
	Name  string
	Value string
}

// PromptPart is one part of a prompt. Requests share parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// Call is a caller's request.
type Call struct {
	ID           string // Unique for each attempt of the caller.
	Method       string
	URI          string // As sent by the caller.
	Host         string
	Fields       []HeaderField // Fields that are passed on as they came.
	Body         []byte
	Credential   string        // Key that came with the request; empty when there was none.
	Patience     time.Duration // Time for which the caller waits; 0 when it did not say.
	Model        string
	PromptTokens int
	OutputTokens int // Most tokens that the answer may have.
	OutputHint   int // Caller's estimate of the answer's tokens; 0 when there is none.
	Parts        []PromptPart
	LastEventID  string
}

// Dispatch is what the router adds to a call when it sends it to an upstream.
type Dispatch struct {
	Upstream    string // ID of the upstream that alone may run it.
	Account     string // Empty on public routes.
	Remaining   time.Duration
	Rank        int
	HasRank     bool
	LastEventID string
}

// AnswerHead is the head of an upstream's answer.
type AnswerHead struct {
	StatusCode int
	Fields     []HeaderField // Fields for the caller.
	ID         string        // Attempt that the answer belongs to.
	Signed     bool          // The answer bears an upstream's signature.
	NotRun     bool          // The upstream has not run the request and never will.
	Misdirect  bool          // The address belongs to another upstream now.
	KeepAlive  time.Duration // Time for which the upstream keeps the idle connection; 0 when it did not say.
	Close      bool
	Length     int64 // Bytes of the body; -1 when not known in advance.
}

// WireFormat translates calls and answers between the router and both sides.
type WireFormat interface {
	// DecodeCall reads a request's head. An error says what is malformed.
	DecodeCall(method, uri []byte, rawHeaders []byte) (Call, error)
	// AppendCall appends the head of a request to an upstream to dst.
	AppendCall(dst []byte, call *Call, d Dispatch) []byte
	// DecodeAnswer reads the head of an upstream's answer.
	DecodeAnswer(resp *http.Response) AnswerHead
	// EventID returns the ID of a stream's event, or "" when it has none.
	EventID(event []byte) string
}
