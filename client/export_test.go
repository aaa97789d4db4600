package client

// MaxMessageBytes is maxMessageBytes, for tests.
const MaxMessageBytes = maxMessageBytes
