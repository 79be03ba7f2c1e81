package answer

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrMalformed marks the errors of answers whose head is none by RFC 9110 and RFC 9112.
var ErrMalformed = errors.New("answer: malformed head")

const (
	// The statuses of final answers. That of a change of the protocol is not among them, since no request
	// asks for one.
	minFinalStatus = 200
	maxFinalStatus = 599
	// minStatus is the lowest status of interim answers, which precede the final one.
	minStatus = 100
	// switchingProtocols is the status of a change of the protocol.
	switchingProtocols = 101
	statusDigits       = 3
)

// headScanner checks the head of an answer, and those of the interim answers before it, while it is read. The
// head of a malformed answer is refused before its end, so that net/http passes on nothing of it and uses its
// connection for nothing else.
type headScanner struct {
	// line is the part of a line that has been read.
	line []byte
	// status is that of the head that is read now; zero before its first line.
	status int
	// minor is the minor version of the head; hasLength and hasCoding are set if it says how long the body is, and
	// how it is coded, such as in chunks.
	minor                int
	hasLength, hasCoding bool
	// over is set once the head of the final answer has been read.
	over bool
}

// scan checks the next bytes. What follows the head is not looked at.
func (s *headScanner) scan(p []byte) error {
	for len(p) > 0 && !s.over {
		part, rest, ended := bytes.Cut(p, []byte{'\n'})
		s.line = append(s.line, part...)
		if !ended {
			return nil
		}
		if err := s.endLine(string(bytes.TrimSuffix(s.line, []byte{'\r'}))); err != nil {
			return errors.Mark(err, ErrMalformed)
		}
		s.line = s.line[:0]
		p = rest
	}

	return nil
}

// endLine checks a whole line.
func (s *headScanner) endLine(line string) error {
	switch {
	case s.status == 0:
		return s.parseStatusLine(line)
	case line == "":
		return s.endHead()
	default:
		return s.parseField(line)
	}
}

// endHead checks the framing of the body, and makes the scanner ready for the next head.
func (s *headScanner) endHead() error {
	switch {
	case s.hasCoding && s.hasLength:
		return errors.New("answer: the body has both a length and a transfer coding")
	case s.hasCoding && s.minor == 0:
		return errors.New("answer: the body has a transfer coding, which HTTP/1.0 does not know")
	}
	*s = headScanner{line: s.line, over: s.status >= minFinalStatus}

	return nil
}

// parseField checks the line of a field. One that continues the line before it, which RFC 9112 lets a router
// refuse, begins with a blank and so has no name.
func (s *headScanner) parseField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return errors.Newf("answer: the name of a field is %.40q", name)
	}
	if !isText(value) {
		return errors.Newf("answer: the field %.40s has the value %.40q", name, value)
	}
	s.hasLength = s.hasLength || strings.EqualFold(name, "Content-Length")
	s.hasCoding = s.hasCoding || strings.EqualFold(name, "Transfer-Encoding")

	return nil
}

// parseStatusLine parses the first line of a head.
func (s *headScanner) parseStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	if !ok || len(minor) != 1 || !isDigits(minor) {
		return errors.Newf("answer: the version is %.20q", version)
	}
	if !isText(reason) {
		return errors.Newf("answer: the reason is %.40q", reason)
	}
	var err error
	s.minor = int(minor[0] - '0')
	s.status, err = parseStatus(code)

	return err
}

// parseStatus parses the status of an answer.
func parseStatus(code string) (int, error) {
	if len(code) != statusDigits || !isDigits(code) {
		return 0, errors.Newf("answer: the status is %.20q", code)
	}
	status, err := strconv.Atoi(code)
	if err != nil {
		return 0, errors.Wrap(err, "answer: status")
	}
	if status < minStatus || status == switchingProtocols || status > maxFinalStatus {
		return 0, errors.Newf("answer: the status is %d", status)
	}

	return status, nil
}

// tokenMarks are the characters of a token other than letters and digits.
const tokenMarks = "!#$%&'*+-.^_`|~"

// isToken reports whether the text is a token.
func isToken(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune(tokenMarks, r)
	})
}

// isDigits reports whether the text has decimal digits only.
func isDigits(text string) bool { return strings.Trim(text, "0123456789") == "" }

// isText reports whether the text has no control bytes other than tabs.
func isText(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r < ' ' && r != '\t' || r == '\x7f' })
}
