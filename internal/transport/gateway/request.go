package gateway

import (
	"net/http"
	"net/url"
	"path"
	"regexp"
	"strings"

	"snipetack/internal/protocol/chat"
	"snipetack/internal/state/result"
)

// Headers for idempotent calls and for plain services.
const (
	AccountHeader     = "X-Client-Account" // name of the account whose key came with the request
	IdempotencyHeader = "Idempotency-Key"
	maxIdempotencyKey = 255 // bytes
)

// forwardedRequestHeaders returns the request headers that are forwarded to a plain service; credentials and cookies
// are not among them.
func forwardedRequestHeaders() []string {
	return []string{"Accept", "Accept-Language", "Content-Type", "Content-Encoding", "Content-Language",
		"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since", "Range", "Traceparent", "Tracestate"}
}

// forwardedResponseHeaders returns the response headers of a plain service that are forwarded to the caller.
func forwardedResponseHeaders() []string {
	return []string{"Accept-Ranges", "Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language",
		"Content-Range", "Content-Type", "Etag", "Expires", "Last-Modified", "Retry-After", "Vary"}
}

// newKeyPattern returns a pattern that matches text in the form of a caller's key, valid or not.
func newKeyPattern() *regexp.Regexp {
	return regexp.MustCompile(`sk-[0-9a-fA-F]{12}-[0-9a-fA-F]{48}`)
}

// headerFor returns the request headers for a plain service; account is empty on an open route.
func (g *Gateway) headerFor(r *http.Request, id, account string) http.Header {
	h := http.Header{"User-Agent": {"snipetack"}, chat.RequestIDHeader: {id}}
	for _, n := range forwardedRequestHeaders() {
		if v, ok := r.Header[n]; ok {
			h[n] = append([]string(nil), v...)
		}
	}
	if account != "" {
		h.Set(AccountHeader, account)
	}
	return h
}

// checkKeyLocation refuses a request that has a key in its URL, in a header that is forwarded or in its idempotency
// key, where it would be disclosed to an upstream or stored.
func (g *Gateway) checkKeyLocation(r *http.Request) error {
	if r.URL.User != nil || g.containsKey(r.URL.EscapedPath()) || g.containsKey(r.URL.RawQuery) {
		return errMisplacedKey()
	}
	for _, n := range append(forwardedRequestHeaders(), IdempotencyHeader) {
		for _, v := range r.Header[n] {
			if g.containsKey(v) {
				return errMisplacedKey()
			}
		}
	}
	return nil
}

// containsKey reports whether a text contains a key, percent-encoded up to three times or not at all.
func (g *Gateway) containsKey(text string) bool {
	const rounds = 3 // nested percent-encodings that are undone
	for range rounds {
		if g.keyPattern.MatchString(text) {
			return true
		}
		t, err := url.QueryUnescape(text)
		if err != nil || t == text {
			return false
		}
		text = t
	}
	return g.keyPattern.MatchString(text)
}

func errMisplacedKey() error {
	return result.New(result.MalformedRequest, "a key may stand in the Authorization header only")
}

// checkTarget refuses methods that are not forwarded, upgrades and trailers, and paths that an upstream could interpret
// differently from the route table.
func checkTarget(r *http.Request) error {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		return result.New(result.WrongMethod, "method %.16q is not passed on", r.Method)
	}
	if r.Header.Get("Upgrade") != "" || len(r.Trailer) > 0 {
		return result.New(result.MalformedRequest, "protocol upgrades and trailers are not passed on")
	}
	p := r.URL.Path
	raw := strings.ToLower(r.URL.EscapedPath())
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	if p != clean || strings.ContainsAny(p, "\\;\x00") || strings.Contains(raw, "%2f") || strings.Contains(raw, "%25") {
		return result.New(result.MalformedRequest, "the path is ambiguous")
	}
	return nil
}

// upstreamTarget returns the escaped path and query for a plain service: without /services/ and the service's name.
func upstreamTarget(r *http.Request) string {
	p := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	_, p, _ = strings.Cut(p, "/")
	if r.URL.RawQuery == "" {
		return "/" + p
	}
	return "/" + p + "?" + r.URL.RawQuery
}
