package ration

// Waiting returns how many transfers wait.
func (queue *Queue) Waiting() int {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return len(queue.waiting)
}
