package ledger

import "fmt"

// errorLine is a line of an errors file for an item without a response.
type errorLine struct {
	ID       string    `json:"id"`
	CustomID string    `json:"custom_id"`
	Response *struct{} `json:"response"`
	Error    lineError `json:"error"`
}

type lineError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// LineID returns the id of an item's line in the results or errors file.
func LineID(job string, item int) string {
	return fmt.Sprintf("%s-%d", job, item)
}
