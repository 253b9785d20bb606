// Package integration holds the tests that run the real binaries as separate processes.
package integration
