// Package credential keeps what a process proves itself by: certificates with
// their keys, CAs and tokens, each read from files. What was read is immutable.
// A Watched value is read again when its files change; what is at fault is not
// taken, and what was in force stays so.
package credential
