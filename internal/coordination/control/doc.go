// Package control wraps the configuration's state machine so that it can be read while the control group applies changes.
package control
