package target

// DrainTimeout is drainTimeout, for tests.
const DrainTimeout = drainTimeout
