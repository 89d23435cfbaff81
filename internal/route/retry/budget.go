// Package retry implements a retry budget, which bounds the load that retries add.
package retry

import "sync"

const (
	// retryRatio is the number of retries that each request adds to the budget.
	retryRatio = 0.1
	// maxRetries is the largest number of retries that can accumulate.
	maxRetries = 10
)

// Budget allows retries up to a tenth of the requests, with a small reserve for
// times of few requests.
type Budget struct {
	mutex sync.Mutex
	left  float64
}

// New returns a budget with maxRetries retries.
func New() *Budget {
	return &Budget{left: maxRetries}
}

// RecordRequest adds the retries of one request to the budget.
func (budget *Budget) RecordRequest() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.left = min(maxRetries, budget.left+retryRatio)
}

// Allow takes one retry from the budget. It returns false if there is none left.
func (budget *Budget) Allow() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.left < 1 {
		return false
	}
	budget.left--
	return true
}
