//go:build !race

package querier_test

// propertyCases is the number of random event sequences in one test run.
const propertyCases = 120_000
