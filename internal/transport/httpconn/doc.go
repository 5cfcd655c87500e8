// Package httpconn sends HTTP/1.1 requests to upstreams over kept connections and never repeats one.
package httpconn
