// Package integration contains the tests that run the real binaries as separate processes.
package integration
