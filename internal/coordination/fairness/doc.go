// Package fairness divides the slots of each service among the client accounts that ask for them.
//
// It responds to accounts that send several times their usual rate while upstreams are too few: ordered by time alone, an account
// with nine times the requests gets nine times the slots, and the callers of the others wait or are refused. Shares keeps, at each entry
// VM, how much each account got lately at this VM and, as far as reports tell, at all others.
package fairness
