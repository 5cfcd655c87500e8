package reply

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"snipetack/internal/state/result"
)

// CodeHeader is the response header that carries the numeric result code of a failure.
const CodeHeader = "X-Result-Code"

// errorBody is the error object of the inference API, as client SDKs expect it, with two more fields: result_code and
// ran.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message    string `json:"message"`
	Type       string `json:"type"`
	Code       string `json:"code"`
	ResultCode int    `json:"result_code"`
	Ran        string `json:"ran"`
}

// JSON writes a value as JSON with a status. Errors of writing are ignored: the status has been sent by then.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Failure writes the result.Failure that err contains, with its status, code and, where one is set, Retry-After. Any
// other error is reported as internal.
func Failure(w http.ResponseWriter, err error) {
	f := result.Of(err)
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.Header().Set(CodeHeader, strconv.Itoa(int(f.Code)))
	JSON(w, f.Code.Meaning().Status, bodyOf(f))
}

// FailureEvent returns the failure as a JSON error object: the data of a server-sent event, or the body of a response that
// is written without an http.ResponseWriter.
func FailureEvent(err error) []byte {
	b, e := json.Marshal(bodyOf(result.Of(err)))
	if e != nil {
		return nil
	}
	return b
}

func bodyOf(f *result.Failure) errorBody {
	m := f.Code.Meaning()
	return errorBody{Error: errorFields{
		Message:    f.Detail,
		Type:       kindOf(m.Status),
		Code:       m.Name,
		ResultCode: int(f.Code),
		Ran:        string(f.Ran),
	}}
}

// kindOf returns the error type that client SDKs expect with a status.
func kindOf(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}
