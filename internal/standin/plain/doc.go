// Package plain is a stand-in, with fault injection, for a plain HTTP service such as a tour planner or dispatch
// application.
package plain
