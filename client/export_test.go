package client

// The limits, for tests.
const (
	MaxMessageBytes = maxMessageBytes
	MaxHeaderBytes  = maxHeaderBytes
)
