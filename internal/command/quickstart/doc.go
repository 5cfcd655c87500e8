// Package quickstart demonstrates a fleet that runs in one process.
//
// Seven VMs, three of them keepers, two stand-in engines and a plain service listen on loopback. A team is onboarded from
// a questionnaire, an online response is streamed, calls that must be refused are refused, and a batch job runs while a
// keeper is lost.
package quickstart
