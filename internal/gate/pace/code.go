package pace

import (
	"math"
	"time"
)

const (
	// shortest is the time that code 1 stands for; shorter ones count as this.
	shortest = 50 * time.Microsecond
	// steps is the number of codes for each doubling, so that 255 of them reach 120 s and each is
	// within 3% of the time that it stands for.
	steps = 12
)

// Code is a time in one byte, on a logarithmic scale; 0 is unknown.
type Code uint8

// Report is what a gateway tells others of the pace of a target.
type Report struct {
	First, Event Code
}

// encode returns the code of the logarithm of a time in seconds.
func encode(value float64) Code {
	step := math.Round((value - math.Log(shortest.Seconds())) * steps / math.Ln2)
	return Code(1 + max(0, min(step, math.MaxUint8-1)))
}

// decode is the inverse of encode.
func (code Code) decode() float64 {
	return math.Log(shortest.Seconds()) + float64(code-1)*math.Ln2/steps
}
