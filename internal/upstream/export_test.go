package upstream

// The limits, for tests.
const (
	MaxHeadBytes        = maxHeadBytes
	MaxSkippedBodyBytes = maxSkippedBodyBytes
	HeadTimeout         = headTimeout
)
