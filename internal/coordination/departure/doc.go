// Package departure remembers which upstreams have announced in a response that they leave, whatever the list of upstreams shows.
package departure
