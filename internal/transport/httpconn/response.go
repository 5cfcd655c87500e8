package httpconn

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// CheckHead returns an error for a response head that net/http parses but HTTP/1.1 does not allow: one with a status below 100 or a malformed field
// name, or one that switches protocols unasked.
func CheckHead(a *http.Response) error {
	switch {
	case a.StatusCode < http.StatusContinue: // neither interim nor final; one above 599 is valid here and handled as a 5xx (RFC 9110, 15)
		return errors.Errorf("the status %03d is below 100", a.StatusCode)
	case a.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("the upstream switched to a protocol that no request asks for")
	}
	return CheckFields(a.Header)
}

// CheckFields returns an error if the name of a field in a head or a trailer section is no token (RFC 9110, 5.6.2). Of such names net/http parses
// only those with blanks, and takes a length or chunks that they announce for absent.
func CheckFields(h http.Header) error {
	for n := range h {
		if strings.Contains(n, " ") {
			return errors.Errorf("the field name %.40q holds a blank", n)
		}
	}
	return nil
}

// Unframed reports whether a response has neither a length nor chunks, so that its body ends with the connection.
func Unframed(a *http.Response) bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.Request.Method != http.MethodHead
}
