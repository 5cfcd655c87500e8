// Package engine is a stand-in for a model engine: it implements the engines' HTTP interface and imitates
// their timing; its tokens are words derived from a hash of the prompt.
//
// Requests are admitted to a limited number of slots in order of arrival. Each step generates one token for
// every running sequence, and takes longer the more of them run. Prompt prefixes are cached in limited
// memory. Load is reported with a lag; old cache events are dropped, which leaves gaps. Tests inject faults.
package engine
