// Package load is an open-loop load generator for the chat-completions endpoint: it sends requests at a given rate, whether or
// not earlier ones have been answered, and measures the responses.
package load
