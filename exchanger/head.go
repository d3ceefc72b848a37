package exchanger

import (
	"bytes"
	"strings"

	"github.com/juju/errors"
)

// errMalformedHead is the error of a response whose head is not one by RFC 9112.
const errMalformedHead = errors.ConstError("head of the response is malformed")

// headChecker checks the heads of a response, informational ones included, as they are read.
// The parsers of net/http and fasthttp are lenient, each in its own way: they take names of
// fields with blanks, and may so miss the field that gives the length of the body.
type headChecker struct {
	line          []byte // Start of the line whose end has not been read yet.
	begun         bool   // The status line has been read.
	informational bool   // Another head follows.
	ended         bool   // What follows is not a head.
	err           error  // Returned by check.
}

// check checks the next bytes of a connection. It ignores those after the head of the final
// response.
func (h *headChecker) check(b []byte) error {
	for h.err == nil && !h.ended {
		line, rest, found := bytes.Cut(b, []byte("\n"))
		if !found {
			h.line = append(h.line, line...)
			break
		}
		if len(h.line) > 0 {
			line, h.line = append(h.line, line...), nil
		}
		h.err = h.checkLine(bytes.TrimSuffix(line, []byte("\r")))
		b = rest
	}
	return h.err
}

// checkLine checks a line without its end.
func (h *headChecker) checkLine(line []byte) error {
	switch {
	case !h.begun:
		h.begun = true
		_, status, _ := bytes.Cut(line, []byte(" "))
		h.informational = bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
	case len(line) == 0:
		h.begun, h.ended = false, !h.informational
	default:
		return checkField(line)
	}
	return nil
}

// checkField checks the line of a field. It refuses folded lines, as a gateway may.
func checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || bytes.IndexFunc(name, isNoToken) >= 0 {
		return errors.Annotatef(errMalformedHead, "%.80q has no valid field name", line)
	}
	return nil
}

// isNoToken reports whether a character cannot be part of the name of a field.
func isNoToken(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
