// Package questionnaire generates configuration from a team's answers.
//
// The answers are stored in the configuration and are the source of truth: a team's accounts, routes, services and
// upstreams are generated from them, and each Plan reverts manual changes to these entries. Keys are not generated:
// they are issued once, when an account is new.
package questionnaire
