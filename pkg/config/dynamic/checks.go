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

// checker collects the faults of single values. Each check takes the path of the
// field, which the fault names.
type checker struct {
	collector
}

// textRule is the form that a required text must have.
type textRule struct {
	// missing is the message about an empty text, and invalid the format of the one
	// about a text of another form, which takes the text.
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

// name checks an identifier that may stand in a path of the control interface.
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

// checkEach checks a repeated field: the number of its elements, at most bound, and then
// each element with the path of it, such as "routes[3]".
func checkEach[T any](c *checker, field string, elements []T, bound int, check func(path string, element T)) {
	if len(elements) > bound {
		c.add(KindOversize, field, "has %d entries; use at most %d", len(elements), bound)
	}
	for i, element := range elements {
		check(fmt.Sprintf("%s[%d]", field, i), element)
	}
}

// positive checks a whole number that must lie in 1..bound.
func (c *checker) positive(path string, value uint32, bound uint64) {
	if value == 0 || uint64(value) > bound {
		c.add(KindOutOfRange, path, "is %d; use a number from 1 to %d", value, bound)
	}
}

// atMost checks an upper bound; 0 is valid and means the default, or no bound.
func (c *checker) atMost(path string, value, bound uint64) {
	if value > bound {
		c.add(KindOutOfRange, path, "is %d; use a number from 0 to %d", value, bound)
	}
}

// timeoutOrZero is atMost for a time in milliseconds.
func (c *checker) timeoutOrZero(path string, milliseconds uint32, bound time.Duration) {
	c.atMost(path, uint64(milliseconds), uint64(bound.Milliseconds()))
}

// path checks an optional path of a URL, or the prefix of one.
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

// timeout checks a positive time in milliseconds.
func (c *checker) timeout(path string, milliseconds uint32, bound time.Duration) {
	c.positive(path, milliseconds, uint64(bound.Milliseconds()))
}

// rate checks a number that must be above 0 and at most bound.
func (c *checker) rate(path string, value, bound float64) {
	if math.IsNaN(value) || value <= 0 || value > bound {
		c.add(KindOutOfRange, path, "is %v; use a number above 0 and up to %v", value, bound)
	}
}

// nonNegative checks a number from 0 to bound; 0 means the default.
func (c *checker) nonNegative(path string, value, bound float64) {
	if math.IsNaN(value) || value < 0 || value > bound {
		c.add(KindOutOfRange, path, "is %v; use a number from 0 to %v", value, bound)
	}
}

// uniqueSet holds the values of one kind that have been checked, each with the path
// at which it was given first.
type uniqueSet struct {
	noun  string
	first map[string]string
}

func newUniqueSet(noun string) *uniqueSet {
	return &uniqueSet{noun: noun, first: make(map[string]string)}
}

// unique adds a fault if the value is in the set already, and adds it otherwise.
// Empty values are skipped: the checks of their form report them.
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

// reference checks that a name is in a set.
func (c *checker) reference(set *uniqueSet, path, value string) {
	if _, found := set.first[value]; !found {
		c.add(KindDanglingReference, path, "there is no %s %q; add it or correct the name", set.noun, value)
	}
}

// isVisibleASCII reports whether a text has no spaces, control characters or characters
// beyond ASCII.
func isVisibleASCII(value string) bool {
	for _, character := range value {
		if character <= ' ' || character > '~' {
			return false
		}
	}
	return true
}
