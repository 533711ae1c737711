//go:build !race

// Without the race detector the scenarios run at all sizes.
package simulate

const raced = false
