// Package peerpb holds the generated messages and services that the hosts
// of the system speak to each other over drpc.
package peerpb
