// Package httpserver bounds HTTP servers in bytes and time, so that no client holds a connection or a request by sending or
// accepting too little, and clients together do not fill the memory.
package httpserver
