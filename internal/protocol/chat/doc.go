// Package chat holds the wire types of the chat-completions API, which both callers and engines use.
package chat
