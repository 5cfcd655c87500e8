package httpconn

import (
	"net/http"

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
