package claims

import (
	"maps"
	"sync"

	"github.com/agatestage/agatestage/internal/wire/calls"
)

// notice records which models sides believe to have waiting items.
type notice struct {
	mutex sync.Mutex
	// announced holds the models that were last announced to all sides.
	announced map[string]bool
	// stale means that a side has been sent another list since.
	stale bool
}

// lister lists the models that have waiting items, and those of also that have jobs.
type lister func(also map[string]bool) []calls.Work

// sent returns the list that is to be sent to one side. An announced model stays in it
// while it has jobs, so that the side asks for items that return to the queue.
func (notice *notice) sent(list lister) []calls.Work {
	notice.mutex.Lock()
	defer notice.mutex.Unlock()
	work := list(notice.announced)
	notice.stale = notice.stale || !maps.Equal(models(work), notice.announced)
	return work
}

// due reports whether the list of work must be announced to all sides, and assumes
// that it then is.
func (notice *notice) due(list lister) bool {
	notice.mutex.Lock()
	defer notice.mutex.Unlock()
	current := models(list(nil))
	if maps.Equal(current, notice.announced) && !notice.stale {
		return false
	}
	notice.announced, notice.stale = current, false
	return true
}

func models(list []calls.Work) map[string]bool {
	models := make(map[string]bool, len(list))
	for _, work := range list {
		models[work.Model] = true
	}
	return models
}
