package brbackend

import (
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// errMalformedHead means that a server sent a head that is none in HTTP/1.1, or one with too
// many fields.
type errMalformedHead struct {
	what string
	data byte
}

// Error implements error.
func (e errMalformedHead) Error() string {
	return fmt.Sprintf("malformed response head: %q %s", e.data, e.what)
}

// headPart is the part of the stream of responses to which the next byte belongs.
type headPart int

const (
	partStatusLine headPart = iota
	partLineStart           // of a field line, or of the empty line that ends the head
	partName
	partValue
	partHeadEnd // after the carriage return of the empty line
	partBody
)

const (
	// statusLineForm is how a status line begins; a 9 stands for any digit.
	statusLineForm = "HTTP/1.9 999"
	// minorAt is where the second part of the version stands in it.
	minorAt = len("HTTP/1.")
	// statusAt is where the status stands in it.
	statusAt = len("HTTP/1.9 ")
	// maxFields is the largest number of fields of a head. However short, each one takes
	// about a hundred bytes once it is parsed.
	maxFields = 256
	// codingName is the name of the field that says that a body comes in chunks.
	codingName = "transfer-encoding"
)

// headChecker checks the heads of the responses on a connection as they are received, since
// net/http's parser accepts more than HTTP/1.1 allows: a field line whose name holds a blank
// becomes a field of another name, and one that begins with a blank becomes a part of the
// value before it. Where the line was meant to delimit the body, callers would get another
// body than the server's. Any three characters that are read as a number are a status to it,
// such as 000, and any version is one of HTTP/1.1. In HTTP/1.0, which has no chunks, it would
// pass on their sizes within the body. It has no bound for the number of fields.
//
// A part of a head may be passed to the parser before the error is found, but not its end.
type headChecker struct {
	part       headPart
	status     [len(statusLineForm)]byte // the start of the status line
	statusSize int                       // of the status line so far, up to one byte more
	name       [len(codingName)]byte     // the start of the current name
	nameSize   int
	fieldCount int
}

// expectHead makes the next byte the first one of a response.
func (h *headChecker) expectHead() { *h = headChecker{} }

// check checks the next bytes on the connection.
func (h *headChecker) check(data []byte) error {
	for _, b := range data {
		if h.part == partBody {
			return nil
		}
		if err := h.checkByte(b); err != nil {
			return err
		}
	}
	return nil
}

func (h *headChecker) checkByte(b byte) error {
	switch h.part {
	case partStatusLine:
		return h.continueStatusLine(b)
	case partLineStart:
		return h.startLine(b)
	case partName:
		return h.continueName(b)
	case partValue:
		if b == '\n' {
			h.part = partLineStart
		}
	case partHeadEnd:
		if b != '\n' {
			return errMalformedHead{what: "after a carriage return", data: b}
		}
		h.endHead()
	default:
	}
	return nil
}

func (h *headChecker) continueStatusLine(b byte) error {
	switch {
	case h.statusSize < len(statusLineForm):
		if !isStatusLineByte(h.statusSize, b) {
			return errMalformedHead{what: "in the status line", data: b}
		}
		h.status[h.statusSize] = b
		h.statusSize++
	case b == '\n':
		h.part = partLineStart
	case h.statusSize == len(statusLineForm):
		if b != ' ' && b != '\r' {
			return errMalformedHead{what: "after the status", data: b}
		}
		h.statusSize++
	}
	return nil
}

// isStatusLineByte reports whether a status line may have a byte at a place. A status begins
// with a digit from 1 on.
func isStatusLineByte(place int, b byte) bool {
	if statusLineForm[place] != '9' {
		return b == statusLineForm[place]
	}
	return b >= '0' && b <= '9' && (place != statusAt || b != '0')
}

func (h *headChecker) startLine(b byte) error {
	switch {
	case b == '\n':
		h.endHead()
	case b == '\r':
		h.part = partHeadEnd
	case !isNameByte(b):
		return errMalformedHead{what: "at the start of a field line", data: b}
	case h.fieldCount == maxFields:
		return errMalformedHead{what: fmt.Sprintf("after %d fields", maxFields), data: b}
	default:
		h.part, h.nameSize = partName, 0
		h.fieldCount++
		h.addToName(b)
	}
	return nil
}

func (h *headChecker) continueName(b byte) error {
	switch {
	case b == ':' && h.status[minorAt] == '0' && h.isCoding():
		return errMalformedHead{what: "after the name of a transfer coding in HTTP/1.0", data: b}
	case b == ':':
		h.part = partValue
	case isNameByte(b):
		h.addToName(b)
	default:
		return errMalformedHead{what: "in the name of a field", data: b}
	}
	return nil
}

func (h *headChecker) addToName(b byte) {
	if h.nameSize < len(h.name) {
		h.name[h.nameSize] = b
	}
	h.nameSize++
}

// isCoding reports whether the current name is codingName.
func (h *headChecker) isCoding() bool {
	return h.nameSize == len(h.name) && strings.EqualFold(string(h.name[:]), codingName)
}

// endHead ends a head. Another one follows an interim response.
func (h *headChecker) endHead() {
	interim := h.status[statusAt] == '1' && string(h.status[statusAt:]) != "101"
	h.expectHead()
	if !interim {
		h.part = partBody
	}
}

func isNameByte(b byte) bool { return httpguts.IsTokenRune(rune(b)) }
