package dynamic

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checker checks single values and collects their faults. Each check takes the path of the
// field, which becomes part of the fault.
type checker struct {
	collector
}

// textRule is the form that a required text must have.
type textRule struct {
	// missing is the message for an empty text. invalid is the format of the message for
	// a text of another form; its argument is the text.
	missing, invalid string
	maxBytes         int
	valid            func(value string) bool
}

var (
	nameRule = textRule{
		missing:  "is empty; give a name",
		invalid:  "%q: begin with a letter or digit and use only letters, digits, '.', '_' and '-'",
		maxBytes: MaxNameBytes,
		valid:    namePattern.MatchString,
	}
	labelRule = textRule{
		missing:  "is empty; give a value",
		invalid:  "%q: use visible ASCII characters without spaces",
		maxBytes: MaxNameBytes,
		valid:    isVisibleASCII,
	}
	hostRule = textRule{
		missing:  "is empty; give the host name that callers use",
		invalid:  "%q: write a lower-case host name without scheme, port or path",
		maxBytes: MaxHostBytes,
		valid:    hostPattern.MatchString,
	}
)

// text checks a required text.
func (c *checker) text(path, value string, rule textRule) {
	switch {
	case value == "":
		c.add(KindMissing, path, "%s", rule.missing)
	case len(value) > rule.maxBytes:
		c.add(KindOversize, path, "has %d bytes; use at most %d", len(value), rule.maxBytes)
	case !rule.valid(value):
		c.add(KindInvalid, path, rule.invalid, value)
	}
}

// name checks an identifier that may be part of a URL path of the control interface.
func (c *checker) name(path, value string) { c.text(path, value, nameRule) }

// label checks an opaque text that nodes pass on, such as a model.
func (c *checker) label(path, value string) { c.text(path, value, labelRule) }

// host checks the lower-case host name of a route.
func (c *checker) host(path, value string) { c.text(path, value, hostRule) }

// digest checks a SHA-256 digest in lower-case hexadecimal digits.
func (c *checker) digest(path, value string) {
	switch {
	case value == "":
		c.add(KindMissing, path, "is empty; give the SHA-256 digest of the secret")
	case !digestPattern.MatchString(value):
		c.add(KindInvalid, path, "must be 64 lower-case hexadecimal digits; give the SHA-256 digest, not the secret")
	}
}

// address checks an IP and port that nodes connect to.
func (c *checker) address(path, value string) {
	if value == "" {
		c.add(KindMissing, path, "is empty; give IP and port, such as 127.3.0.1:7400")
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.add(KindInvalid, path, "%q: write a reachable IP and port, such as 127.3.0.1:7400", value)
	}
}

// reason checks an optional text of one line.
func (c *checker) reason(path, value string) {
	switch {
	case len(value) > MaxReasonBytes:
		c.add(KindOversize, path, "has %d bytes; use at most %d", len(value), MaxReasonBytes)
	case !utf8.ValidString(value) || strings.ContainsFunc(value, unicode.IsControl):
		c.add(KindInvalid, path, "use printable text on one line")
	}
}

// checkEach checks a repeated field: that it has at most bound elements, and then each
// element, with the element's path, such as "routes[3]".
func checkEach[T any](c *checker, field string, elements []T, bound int, check func(path string, element T)) {
	if len(elements) > bound {
		c.add(KindOversize, field, "has %d entries; use at most %d", len(elements), bound)
	}
	for i, element := range elements {
		check(fmt.Sprintf("%s[%d]", field, i), element)
	}
}

// positive checks a whole number that must be at least 1 and at most bound.
func (c *checker) positive(path string, value uint32, bound uint64) {
	if value == 0 || uint64(value) > bound {
		c.add(KindOutOfRange, path, "is %d; use a number from 1 to %d", value, bound)
	}
}

// atMost checks a whole number from 0 to bound. What 0 means depends on the field.
func (c *checker) atMost(path string, value, bound uint64) {
	if value > bound {
		c.add(KindOutOfRange, path, "is %d; use a number from 0 to %d", value, bound)
	}
}

// timeoutOrZero checks a time in milliseconds from 0 to bound.
func (c *checker) timeoutOrZero(path string, milliseconds uint32, bound time.Duration) {
	c.atMost(path, uint64(milliseconds), uint64(bound.Milliseconds()))
}

// path checks an optional URL path, or the prefix of one.
func (c *checker) path(path, value string) {
	switch {
	case value == "":
	case len(value) > MaxPathBytes:
		c.add(KindOversize, path, "has %d bytes; use at most %d", len(value), MaxPathBytes)
	case !strings.HasPrefix(value, "/") || !isVisibleASCII(value):
		c.add(KindInvalid, path, "%q: begin with a slash and use visible ASCII characters without spaces", value)
	}
}

// pathPrefix checks the path prefix of a route; empty means every path.
func (c *checker) pathPrefix(path, value string) {
	if value != "" && !strings.HasSuffix(value, "/") {
		c.add(KindInvalid, path, "%q: begin and end with a slash", value)
		return
	}
	c.path(path, value)
}

// timeout checks a time in milliseconds that must be above 0 and at most bound.
func (c *checker) timeout(path string, milliseconds uint32, bound time.Duration) {
	c.positive(path, milliseconds, uint64(bound.Milliseconds()))
}

// rate checks a number that must be above 0 and at most bound.
func (c *checker) rate(path string, value, bound float64) {
	if math.IsNaN(value) || value <= 0 || value > bound {
		c.add(KindOutOfRange, path, "is %v; use a number above 0 and up to %v", value, bound)
	}
}

// nonNegative checks a number from 0 to bound. What 0 means depends on the field.
func (c *checker) nonNegative(path string, value, bound float64) {
	if math.IsNaN(value) || value < 0 || value > bound {
		c.add(KindOutOfRange, path, "is %v; use a number from 0 to %v", value, bound)
	}
}

// uniqueSet contains the values of one kind that have been checked, each with the path at
// which it was first given.
type uniqueSet struct {
	// noun names the kind of the values in messages.
	noun  string
	first map[string]string
}

func newUniqueSet(noun string) *uniqueSet {
	return &uniqueSet{noun: noun, first: make(map[string]string)}
}

// unique adds a fault if the value is already in the set; otherwise it adds the value to the
// set. It skips empty values, which are reported by the checks of the form.
func (c *checker) unique(set *uniqueSet, path, value string) {
	if value == "" {
		return
	}
	if first, found := set.first[value]; found {
		c.add(KindDuplicate, path, "%s is already given at %s; make it unique", set.noun, first)
		return
	}
	set.first[value] = path
}

// reference checks that a name refers to a value in a set.
func (c *checker) reference(set *uniqueSet, path, value string) {
	if _, found := set.first[value]; !found {
		c.add(KindDanglingReference, path, "there is no %s %q; add it or correct the name", set.noun, value)
	}
}

// isVisibleASCII reports whether a text contains no spaces, control characters or characters
// outside ASCII.
func isVisibleASCII(value string) bool {
	for _, character := range value {
		if character <= ' ' || character > '~' {
			return false
		}
	}
	return true
}
