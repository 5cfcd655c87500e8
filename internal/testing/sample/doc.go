// Package sample builds configurations of a given size for benchmarks.
package sample
