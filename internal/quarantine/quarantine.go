// Package quarantine recognises requests that crash the replicas that run them.
package quarantine
