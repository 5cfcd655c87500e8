// Package wire encodes and decodes the records and messages of this project field by field.
//
// Every record is a sequence of numbered fields in the protocol buffers wire format, so that a
// newer VM may add fields which an older one skips.
package wire
