// Package e2e holds the tests that run the program as separate processes.
package e2e
