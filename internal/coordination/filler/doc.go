// Package filler decides which batch items run where, and which give way to online requests.
package filler
