//go:build !race

package test

// memoryFactor is how much more memory programs without the race detector take.
const memoryFactor = 1
