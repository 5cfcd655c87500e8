// Package warmup decides which upstreams are cold, so that all VMs together send each no more than its service's cold rate.
//
// It responds to upstreams that start under traffic, one by one or a whole data centre at once, and to those that become cold again while they run. The
// newest word counts: of the list, which lags, and of the upstream's responses. An event after which an upstream may be cold, such as a
// restart, counts until a list shows the time after it.
package warmup
