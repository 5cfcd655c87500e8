// Package budget decides what a process may hold in memory and descriptors for its clients, and whose connection is closed when
// there is no room for another client's request. It responds to crowds of clients that hold connections and memory without making progress.
package budget
