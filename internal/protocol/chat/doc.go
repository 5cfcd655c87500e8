// Package chat holds the wire types of the chat-completions API, which both callers and engines use, and of the
// load reports, cache events and orders exchanged with engines.
package chat
