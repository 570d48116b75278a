// Package fleettest runs several hosts of a fleet in one process, over
// loopback or over connections in memory, with faults at the interface to the
// network. It records what the targets really ran and what the callers were
// told, so that a test can compare the two.
//
// A pause holds the traffic of a place; its process goes on computing. The
// stop of a whole control core is tested in package host.
//
// Inside a testing/synctest bubble, with connections in memory, a test of a
// whole fleet runs on a virtual clock and gives the same verdict on every run.
package fleettest
