//go:build race

package test

// memoryFactor is how much more memory programs with the race detector take, by its documentation.
const memoryFactor = 10
