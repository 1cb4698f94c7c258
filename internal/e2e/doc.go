// Package e2e contains tests that run the program as separate processes.
package e2e
