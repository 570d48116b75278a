// Package fleettest runs several hosts of a fleet in one process, over
// loopback or in-memory connections, and injects network faults. It records the
// requests that the targets ran and the responses that the callers received, so
// that a test can compare the two.
//
// Pausing a node holds its traffic only; its process keeps computing. Package
// host tests the stop of a whole control core.
//
// Inside a testing/synctest bubble, with in-memory connections, a test of a
// whole fleet runs on a virtual clock and has the same result on every run.
package fleettest
