//go:build race

// Under the race detector, which is slow and sees little where one task runs
// at a time, the scenarios run at the small size only.
package simulate

const raced = true
