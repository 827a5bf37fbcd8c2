package inspector

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	headerLength   = "Content-Length"
	headerEncoding = "Transfer-Encoding"

	minStatus    = 100
	maxStatus    = 599
	statusDigits = 3
)

// headScanner checks header sections or a trailer while their bytes arrive.
type headScanner struct {
	trailer bool   // there is no status line
	size    int    // bytes of all sections so far
	line    []byte // what has arrived of the current line

	// Of the current section.
	lines       int
	fields      int
	minor       int // minor version of HTTP
	status      int
	hasLength   bool
	hasEncoding bool
}

// scan checks the next bytes and returns how many of them belong to the section, and whether it is complete.
func (s *headScanner) scan(p []byte) (n int, done bool, err error) {
	for n < len(p) && !done {
		part, rest, ended := bytes.Cut(p[n:], []byte("\n"))
		s.size += len(p) - n - len(rest)
		n = len(p) - len(rest)
		if s.size > MaxHeadBytes {
			return n, false, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, MaxHeadBytes)
		}
		s.line = append(s.line, part...)
		if !ended {
			break
		}
		if done, err = s.endLine(strings.TrimSuffix(string(s.line), "\r")); err != nil {
			return n, false, err
		}
		s.line = s.line[:0]
	}
	return n, done, nil
}

// endLine checks a complete line and reports whether it ends the section.
func (s *headScanner) endLine(line string) (done bool, err error) {
	s.lines++
	switch {
	case s.lines == 1 && !s.trailer:
		return false, s.readStatusLine(line)
	case line == "":
		return true, s.checkFraming()
	}
	if s.fields++; s.fields > MaxFields {
		return false, fmt.Errorf("%w: more than %d fields", ErrTooLarge, MaxFields)
	}
	return false, s.readField(line)
}

// readStatusLine checks a status line such as "HTTP/1.1 200 OK". The reason may be missing.
func (s *headScanner) readStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	status, reason, _ := strings.Cut(rest, " ")
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 || !httpguts.ValidHeaderFieldValue(reason) {
		return fmt.Errorf("%w: status line %q", ErrMalformed, shorten(line))
	}
	number, err := strconv.ParseUint(status, 10, 16)
	if err != nil || len(status) != statusDigits || number < minStatus || number > maxStatus {
		return fmt.Errorf("%w: status %q", ErrMalformed, shorten(status))
	}
	s.minor, s.status = minor, int(number)
	return nil
}

// readField checks a line with one field. A line that continues the previous field is malformed, too.
func (s *headScanner) readField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return fmt.Errorf("%w: line %q has no colon", ErrMalformed, shorten(line))
	}
	if err := checkField(name, textproto.TrimString(value)); err != nil {
		return err
	}
	s.hasLength = s.hasLength || strings.EqualFold(name, headerLength)
	s.hasEncoding = s.hasEncoding || strings.EqualFold(name, headerEncoding)
	return nil
}

// checkFraming returns an error unless every reader of the section finds the same end of the body.
func (s *headScanner) checkFraming() error {
	switch {
	case s.trailer && (s.hasLength || s.hasEncoding):
		return fmt.Errorf("%w: %s or %s in the trailer", ErrMalformed, headerLength, headerEncoding)
	case s.hasLength && s.hasEncoding:
		return fmt.Errorf("%w: both %s and %s", ErrMalformed, headerLength, headerEncoding)
	case s.hasEncoding && s.minor == 0:
		return fmt.Errorf("%w: %s in HTTP/1.0", ErrMalformed, headerEncoding)
	}
	return nil
}

// isInterim reports whether the section that has ended belongs to an interim response.
func (s *headScanner) isInterim() bool {
	return s.status < http.StatusOK && s.status != http.StatusSwitchingProtocols
}

// next prepares for the header section that follows an interim response.
func (s *headScanner) next() {
	*s = headScanner{size: s.size, line: s.line}
}

// ReadHead reads the header section of a response and returns its bytes. It skips interim responses. The function grow is
// called with the memory that further bytes take, and may be nil; reading ends if it returns an error.
func ReadHead(r *bufio.Reader, grow func(bytes int64) error) ([]byte, error) {
	s := &headScanner{}
	for {
		head, err := readSection(r, s, grow)
		if err != nil {
			return nil, err
		}
		if s.isInterim() {
			s.next()
			continue
		}
		if err := CheckFinal(s.status); err != nil {
			return nil, err
		}
		return head, nil
	}
}

// ReadTrailer reads the trailer after the last chunk of a response and checks it.
func ReadTrailer(r *bufio.Reader) error {
	_, err := readSection(r, &headScanner{trailer: true}, nil)
	return err
}

// readSection reads a header section or a trailer and returns its bytes.
func readSection(r *bufio.Reader, s *headScanner, grow func(bytes int64) error) ([]byte, error) {
	var section []byte
	for {
		if _, err := r.Peek(1); errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err
		}
		arrived, _ := r.Peek(r.Buffered())
		fields := s.fields
		n, done, err := s.scan(arrived)
		if err != nil {
			return nil, err
		}
		if grow != nil {
			// The bytes are held as they arrived and in parsed form.
			if err := grow(2*int64(n) + int64(s.fields-fields)*FieldBytes); err != nil {
				return nil, err
			}
		}
		section = append(section, arrived[:n]...)
		_, _ = r.Discard(n) // cannot fail: the bytes are buffered
		if done {
			return section, nil
		}
	}
}
