// Package document decodes JSON with comments. The caller maps each known key to a Field; a mistake is reported with file,
// line, column and key.
package document
