package brrawserver

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// MalformedResponse is a response that is none in HTTP/1.1. It is immutable.
type MalformedResponse struct {
	name string
	text string
}

// Name returns what is wrong with the response.
func (m MalformedResponse) Name() string { return m.name }

// Text returns the response to the request with an identifier.
func (m MalformedResponse) Text(id string) string { return strings.ReplaceAll(m.text, "{id}", id) }

const (
	// idField is a field of each response: {id} stands for the request's identifier.
	idField     = "X-Request-Id: {id}\r\n"
	sizedBody   = "Content-Length: 5\r\n\r\nwhole"
	chunkedBody = "\r\n5\r\nwhole\r\n0\r\n\r\n"
	successLine = "HTTP/1.1 200 OK\r\n"
)

// malformedLines are field lines that are none, by what is wrong with them.
var malformedLines = map[string]string{
	"blank before the colon":           "X-Trouble : 1",
	"blank in a name":                  "X Trouble: 1",
	"blank before a name":              " X-Trouble: 1",
	"tab before the colon":             "X-Trouble\t: 1",
	"tab in a name":                    "X\tTrouble: 1",
	"tab before a name":                "\tX-Trouble: 1",
	"blanks for a name":                "  : 1",
	"line of blanks":                   "   ",
	"no name":                          ": 1",
	"no colon":                         "X-Trouble",
	"null byte in a name":              "X-\x00Trouble: 1",
	"null byte before a name":          "\x00X-Trouble: 1",
	"control byte in a name":           "X-\x01Trouble: 1",
	"escape in a name":                 "X-\x1bTrouble: 1",
	"form feed in a name":              "X-\x0cTrouble: 1",
	"vertical tab before the colon":    "X-Trouble\x0b: 1",
	"carriage return in a name":        "X-\rTrouble: 1",
	"carriage return before the colon": "X-Trouble\r: 1",
	"carriage return before a name":    "\rX-Trouble: 1",
	"delete in a name":                 "X-\x7fTrouble: 1",
	"byte above ASCII in a name":       "X-\xa0Trouble: 1",
	"letter above ASCII in a name":     "X-Tröuble: 1",
	"delimiter in a name":              "X-(Trouble): 1",
	"control byte in a value":          "X-Trouble: \x011",
	"null byte in a value":             "X-Trouble: \x00",
	"carriage return in a value":       "X-Trouble: 1\r2",
}

// malformedStarts are the first lines of responses that are none, by what is wrong with them.
var malformedStarts = map[string]string{
	"status 000":               "HTTP/1.1 000 Trouble",
	"status 000 alone":         "HTTP/1.1 000",
	"status 001":               "HTTP/1.1 001 Trouble",
	"status 099":               "HTTP/1.1 099 Trouble",
	"status with a sign":       "HTTP/1.1 +20 Trouble",
	"negative status":          "HTTP/1.1 -20 Trouble",
	"status of two digits":     "HTTP/1.1 20 Trouble",
	"status of four digits":    "HTTP/1.1 2000 Trouble",
	"status of letters":        "HTTP/1.1 abc Trouble",
	"no status":                "HTTP/1.1",
	"switch of protocols":      "HTTP/1.1 101 Switching Protocols",
	"version 0.9":              "HTTP/0.9 200 OK",
	"version 2.0":              "HTTP/2.0 200 OK",
	"version 9.9":              "HTTP/9.9 200 OK",
	"version in small letters": "http/1.1 200 OK",
	"no version":               "200 OK",
	"blank before the version": " HTTP/1.1 200 OK",
}

// MalformedResponses returns responses that callers must not get as responses, in the order of
// their names. Their heads hold fields, whole lines that servers set in each response; refusal
// is the field by which servers refuse requests.
func MalformedResponses(fields, refusal string) []MalformedResponse {
	all := []MalformedResponse{}
	add := func(name, text string) { all = append(all, MalformedResponse{name: name, text: text}) }
	common := idField + fields
	lines := maps.Clone(malformedLines)
	lines["blank before the colon of a refusal"] = strings.Replace(refusal, ":", " :", 1)
	lines["blank before a refusal"] = " " + refusal
	refused := refusal + "\r\n" + common
	for name, line := range lines {
		add(name, successLine+common+line+"\r\n"+sizedBody)
		add(name+", first field", successLine+line+"\r\n"+common+sizedBody)
		add(name+", last field", successLine+common+"Content-Length: 5\r\n"+line+"\r\n\r\nwhole")
		add(name+", bare line feeds", strings.ReplaceAll(successLine+common+line+"\r\n"+sizedBody, "\r\n", "\n"))
		add(name+", no length", successLine+common+line+"\r\n\r\nwhole")
		add(name+", failure", "HTTP/1.1 500 Trouble\r\n"+common+line+"\r\n"+sizedBody)
		add(name+", refusal", "HTTP/1.1 503 Trouble\r\n"+refused+line+"\r\n"+sizedBody)
		add(name+", after an interim response", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+successLine+common+line+"\r\n"+sizedBody)
		add(name+", in an interim response", "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+successLine+common+sizedBody)
	}
	for name, line := range malformedStarts {
		add(name, line+"\r\n"+common+sizedBody)
		add(name+", no length", line+"\r\n"+common+"\r\nwhole")
		add(name+", refusal", line+"\r\n"+refused+sizedBody)
	}
	for _, blank := range []string{" ", "\t"} {
		kind := fmt.Sprintf("%q", blank)
		add("length with "+kind+" before the colon", successLine+common+"Content-Length"+blank+": 5\r\n\r\nwhole, and more")
		add("length with "+kind+" before its name", successLine+common+blank+"Content-Length: 5\r\n\r\nwhole, and more")
		add("chunks with "+kind+" before the colon", successLine+common+"Transfer-Encoding"+blank+": chunked\r\n"+chunkedBody)
		add("chunks with "+kind+" before the name", successLine+common+blank+"Transfer-Encoding: chunked\r\n"+chunkedBody)
	}
	add("chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n"+common+"Transfer-Encoding: chunked\r\n"+chunkedBody)
	add("two lengths", successLine+common+"Content-Length: 4\r\n"+sizedBody)
	add("length with a sign", successLine+common+"Content-Length: +5\r\n\r\nwhole")
	add("unknown transfer coding", successLine+common+"Transfer-Encoding: trouble\r\n"+chunkedBody)
	slices.SortFunc(all, func(a, b MalformedResponse) int { return cmp.Compare(a.name, b.name) })
	return all
}
