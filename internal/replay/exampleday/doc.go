// Package exampleday makes a recording of a made-up day: the requests of a
// deployment's mix, busy by day and quiet by night, and answered by the emulated
// fleet. Equal options give equal recordings.
package exampleday
