// Package result defines the numbered result codes that callers and operators receive.
//
// docs/RESULT_CODES.md holds the table; a test keeps it equal to this package.
package result
