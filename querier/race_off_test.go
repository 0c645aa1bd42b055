//go:build !race

package querier_test

// propertyCases is the number of random event orders in one run of the tests.
const propertyCases = 120_000
