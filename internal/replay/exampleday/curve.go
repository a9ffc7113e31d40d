package exampleday

import "time"

// hourlyWeights are the relative numbers of requests of a working day by hour, with a peak
// before noon and a lower one in the afternoon.
var hourlyWeights = [...]float64{1, 1, 1, 1, 1, 2, 4, 9, 16, 20, 20, 17, 11, 14, 17, 16, 12, 8, 5, 4, 3, 2, 2, 1}

// warp moves an arrival at an even rate to where it falls when the rate follows
// the hours. Both count from the beginning of a day of the given length.
func warp(at, day time.Duration) time.Duration {
	total := 0.0
	for _, weight := range hourlyWeights {
		total += weight
	}
	sought := total * float64(at) / float64(day)
	hour := day / time.Duration(len(hourlyWeights))
	for position, weight := range hourlyWeights {
		if sought < weight {
			return time.Duration(position)*hour + time.Duration(sought/weight*float64(hour))
		}
		sought -= weight
	}
	return day
}
