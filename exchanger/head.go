package exchanger

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// errMalformedHead is the error of a response whose head is not one by RFC 9112.
const errMalformedHead = errors.ConstError("head of the response is malformed")

// headChecker checks the head of a response as it is read. The parser of net/http is lenient:
// it accepts statuses such as 000, and blanks in the names of fields, by which it misses the
// field that gives the length of the body.
type headChecker struct {
	line      []byte // Start of the line whose end has not been read yet.
	begun     bool   // The status line has been read.
	version10 bool   // The version is HTTP/1.0, which has no chunks.
	ended     bool   // What follows is not a head.
	err       error  // Returned by check.
}

// check checks the next bytes of a connection. It ignores those after the head.
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
		h.begun, h.version10 = true, bytes.HasPrefix(line, []byte(versionPrefix+"0"))
		return checkStatusLine(line)
	case len(line) == 0:
		h.ended = true
		return nil
	default:
		return h.checkField(line)
	}
}

const (
	versionPrefix = "HTTP/1." // Start of a status line; the minor version follows.
	maxStatus     = 599       // RFC 9110 defines no class of statuses beyond it.
)

// checkStatusLine checks the version and the status. It refuses the switch to another
// protocol, since no request asks for one.
func checkStatusLine(line []byte) error {
	version, rest, _ := strings.Cut(string(line), " ")
	minor, found := strings.CutPrefix(version, versionPrefix)
	if !found || len(minor) != 1 || minor < "0" || minor > "9" {
		return errors.Annotatef(errMalformedHead, "%.80q does not begin with a version of HTTP/1", line)
	}
	digits, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.Atoi(digits)
	if err != nil || len(digits) != 3 || status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Annotatef(errMalformedHead, "%.80q has no valid status", line)
	}
	return nil
}

// checkField checks the line of a field. It refuses folded lines, as a gateway may.
func (h *headChecker) checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found || !isToken(name):
		return errors.Annotatef(errMalformedHead, "%.80q has no valid field name", line)
	case h.version10 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return errors.Annotatef(errMalformedHead, "%.80q is not a field of HTTP/1.0", line)
	}
	return nil
}

// isToken reports whether a name consists of the characters that names of fields may have.
func isToken(name []byte) bool {
	return len(name) > 0 && !bytes.ContainsFunc(name, func(r rune) bool {
		switch {
		case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
			return false
		}
		return !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	})
}
