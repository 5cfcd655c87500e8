// Package pause provides a delay that ends early when its context does.
package pause
