// Command review-2 plays the cases 6 to 10 of the review against processes of the program: it writes their settings, stands in for the platform's list,
// the replicas, the operator and the clients, and checks what these see.
package main
