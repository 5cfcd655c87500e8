package httpconn

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// CheckStatus returns an error for the status of a head that net/http parses but that neither is an interim response nor ends a call: one below
// 100, behind which nothing says what the bytes are, or 101, as no request asks for another protocol. Those above 599 are valid here; a client
// treats them as a 5xx (RFC 9110, 15).
func CheckStatus(status int) error {
	switch {
	case status < http.StatusContinue:
		return errors.Errorf("the status %03d is below 100", status)
	case status == http.StatusSwitchingProtocols:
		return errors.New("the upstream switched to a protocol that no request asks for")
	}
	return nil
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
