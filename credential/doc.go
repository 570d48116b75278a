// Package credential loads the credentials of a process from files: certificates
// with their private keys, CAs and tokens. Loaded credentials are immutable. A
// Reloadable credential is reloaded when its files change; if the new files have
// faults, the previous credential stays in use.
package credential
