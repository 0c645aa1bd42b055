//go:build race

package querier_test

// propertyCases is smaller because the race detector slows each case down.
const propertyCases = 6_000
