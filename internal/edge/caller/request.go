package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// bearerScheme is the prefix of HeaderAuthorization's value, in lower case.
const bearerScheme = "bearer "

// Request contains what the headers of a caller's request specify.
type Request struct {
	// ID is empty if the caller gave none.
	ID string
	// Model is empty if the caller gave none.
	Model  string
	Chunks []prefixindex.Chunk
	// Idempotent permits the request to run more than once.
	Idempotent bool
	// Deadline is the longest time that the caller waits for the response; zero if not given.
	Deadline time.Duration
	// OutputTokens is zero if not given.
	OutputTokens uint32
	// Streamed means that the caller accepts a streamed response.
	Streamed bool
}

// Parse parses the headers of a request. A returned error is an *Error.
func Parse(request *http.Request) (Request, error) {
	header := request.Header
	parsed := Request{Model: header.Get(HeaderModel), Streamed: acceptsStream(header)}
	var err error
	if parsed.ID, err = parseRequestID(header.Get(HeaderRequestID)); err != nil {
		return Request{}, err
	}
	if parsed.Chunks, err = ParsePrefix(strings.Join(header.Values(HeaderPrefix), ",")); err != nil {
		return Request{}, err
	}
	if parsed.Idempotent, err = parseIdempotent(request); err != nil {
		return Request{}, err
	}
	deadline, err := parseNumber(header, HeaderDeadline, MaxDeadlineMilliseconds)
	if err != nil {
		return Request{}, err
	}
	parsed.Deadline = time.Duration(deadline) * time.Millisecond
	tokens, err := parseNumber(header, HeaderOutputTokens, MaxOutputTokens)
	if err != nil {
		return Request{}, err
	}
	parsed.OutputTokens = uint32(tokens)
	return parsed, nil
}

// KeyDigest returns the lower-case hexadecimal SHA-256 digest of the key in a request's
// Authorization header, or false if the header contains no bearer key.
func KeyDigest(header http.Header) (string, bool) {
	value := header.Get(HeaderAuthorization)
	if len(value) <= len(bearerScheme) || !strings.EqualFold(value[:len(bearerScheme)], bearerScheme) {
		return "", false
	}
	digest := sha256.Sum256([]byte(strings.TrimSpace(value[len(bearerScheme):])))
	return hex.EncodeToString(digest[:]), true
}

// HostName returns the host of a request in lower case, without its port and a trailing dot.
func HostName(request *http.Request) string {
	host := request.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// PassThrough returns a copy of the headers with PassThroughPrefix, or nil if there are none.
func PassThrough(header http.Header) http.Header {
	var passed http.Header
	for name, values := range header {
		if !strings.HasPrefix(name, PassThroughPrefix) {
			continue
		}
		if passed == nil {
			passed = make(http.Header)
		}
		passed[name] = append([]string(nil), values...)
	}
	return passed
}

// acceptsStream reports whether an Accept header lists the media type of streamed responses.
func acceptsStream(header http.Header) bool {
	for _, value := range header.Values(HeaderAccept) {
		for _, choice := range strings.Split(value, ",") {
			mediaType, _, _ := strings.Cut(choice, ";")
			if strings.EqualFold(strings.TrimSpace(mediaType), StreamType) {
				return true
			}
		}
	}
	return false
}

// parseRequestID checks a request ID given by the caller. It permits only printable ASCII
// characters, since the ID is echoed in headers.
func parseRequestID(id string) (string, error) {
	if len(id) > MaxRequestIDBytes {
		return "", NewError(KindBadRequest, "%s is longer than %d bytes: shorten it", HeaderRequestID, MaxRequestIDBytes)
	}
	for _, character := range []byte(id) {
		if character < 0x21 || character > 0x7e {
			return "", NewError(KindBadRequest, "%s holds a character that is not printable ASCII: remove it", HeaderRequestID)
		}
	}
	return id, nil
}

// parseIdempotent returns whether the request may run more than once. Without the Repeatable
// header, this holds only for GET and HEAD, which are safe by definition.
func parseIdempotent(request *http.Request) (bool, error) {
	value := request.Header.Get(HeaderRepeatable)
	switch strings.ToLower(strings.TrimSpace(value)) {
	case "":
		return request.Method == http.MethodGet || request.Method == http.MethodHead, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, NewError(KindBadRequest, "%s is %q: send true or false", HeaderRepeatable, value)
	}
}

// parseNumber parses a header that contains a number from 1 to limit. It returns 0 if the header
// is missing.
func parseNumber(header http.Header, name string, limit uint64) (uint64, error) {
	value := header.Get(name)
	if value == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(value, 10, 64)
	if err != nil || number == 0 || number > limit {
		return 0, NewError(KindBadRequest, "%s is %q: send a whole number from 1 to %d", name, value, limit)
	}
	return number, nil
}
