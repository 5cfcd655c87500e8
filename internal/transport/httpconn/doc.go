// Package httpconn sends HTTP/1.1 requests to upstreams over pooled keep-alive connections. Unlike net/http it never
// sends a request again by itself, since a request may have run though its connection failed.
package httpconn
