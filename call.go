package savoryloft

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
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

// Call is a decoded request of a caller.
type Call struct {
	ID           string // Unique for each attempt of the caller.
	Method       string
	URI          string // As sent by the caller.
	Host         string
	Fields       []HeaderField // Header fields that are forwarded unchanged.
	Body         []byte
	Credential   string        // API key of the request; empty when it has none.
	Patience     time.Duration // Caller's timeout; 0 when it gave none.
	Model        string
	PromptTokens int
	OutputTokens int // Maximum number of tokens in the answer.
	OutputHint   int // Caller's estimate of the number of tokens in the answer; 0 when it gave none.
	Parts        []PromptPart
	LastEventID  string
	Detour       DetourDispatch // What another instance says that sent the call on; zero otherwise.
	Resumes      string         // ID of the caller's attempt that brought the first event of the stream to resume; empty when it named none.
}

// Fingerprint returns a string that is the same for calls of an account with the same
// method, host, URI and body, and different for all others.
func (c *Call) Fingerprint(account string) string {
	h := sha256.New()
	for _, field := range []string{account, c.Method, c.Host, c.URI} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(field), field) // The length keeps fields apart.
	}
	_, _ = h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

const fingerprintBytes = 16

// Dispatch holds the values that the router adds to a call when it sends it to
// an upstream.
type Dispatch struct {
	Upstream    string // ID of the only upstream that may run the call.
	Account     string // Empty on public routes.
	Remaining   time.Duration
	Rank        int
	HasRank     bool
	LastEventID string
	FetchFrom   string // Address of the upstream from which to copy cached prompt parts first; empty for none.
}

// DetourDispatch holds what an instance adds to a call that it sends on through another one.
type DetourDispatch struct {
	Token    string // Of the other instance.
	Attempts int    // Upstreams that may still run the call.
}

// DetourRefused is the value of the header of WireFormat.DetourHeader in a response of an
// instance that has not taken a call of another one.
const DetourRefused = "refused"

// AnswerHead is the head of an upstream's answer.
type AnswerHead struct {
	StatusCode  int
	Fields      []HeaderField // Header fields that are forwarded to the caller.
	ID          string        // Attempt that the answer belongs to.
	Signed      bool          // The answer carries an upstream's signature.
	EventStream bool          // The type of the body is that of a stream of events.
	NotRun      bool          // The upstream has not run the request and never will.
	Misdirected bool          // The address is now used by another upstream.
	KeepAlive   time.Duration // Upstream's timeout for idle connections; 0 when it gave none.
	Close       bool
	Leaving     bool          // The upstream is about to leave and must not get new requests.
	Pause       time.Duration // Time for which the upstream requests a pause from this instance; 0 when it requests none.
	Limit       float64       // Requests a second that the upstream takes from all instances together; NoLimit when it names none, InvalidLimit when it names no decimal number.
	IsBrittle   bool          // The upstream fails if it has to turn many requests away.
	Brittle     float64       // Requests a second that it may turn away, of all instances; 0 for none.
	Length      int64         // Length of the body in bytes; -1 when unknown.
}

// Values of AnswerHead.Limit that are no limits.
const (
	NoLimit      = -1
	InvalidLimit = -2
)

// UpstreamReport is what the process of an upstream reports on itself.
type UpstreamReport struct {
	StartedAtMs int // As in its registry entry; 0 when it gave none.
}

// WireFormat decodes requests and answers and encodes requests to upstreams.
type WireFormat interface {
	// DecodeCall decodes the head of a request. The text of its error describes
	// the malformed part and is sent to the caller.
	DecodeCall(method, uri []byte, rawHeaders []byte) (Call, error)
	// AppendCall appends the head of a request to an upstream to dst.
	AppendCall(dst []byte, call *Call, d Dispatch) []byte
	// AppendDetour appends the head of a request to another instance to dst.
	AppendDetour(dst []byte, call *Call, remaining time.Duration, d DetourDispatch) []byte
	// DetourHeader returns the name of the header of such requests and their responses that
	// no request of a caller may have.
	DetourHeader() string
	// DecodeAnswer decodes the head of an upstream's answer.
	DecodeAnswer(resp *http.Response) AnswerHead
	// AppendReportCall appends the request for an upstream's report on itself to dst.
	AppendReportCall(dst []byte, address string) []byte
	// DecodeReport decodes the body of the answer to that request.
	DecodeReport(body []byte) (UpstreamReport, error)
	// EventID returns the ID of an event of a stream, or "" when it has none.
	EventID(event []byte) string
	// CheckEvent returns an error unless each line is one of an event of a stream.
	CheckEvent(event []byte) error
}
