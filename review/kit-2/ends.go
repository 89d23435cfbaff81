package main

// ends returns how often processes ended by themselves in all, and on how many machines three times or
// more, and records both.
func (run *trial) ends() (all, often int) {
	for _, machine := range run.fleet.machines {
		ends, killed, peak := machine.state()
		run.record.log("platform: %s: %d ends by itself, %d for memory, peak %d MB", machine.name, ends, killed, peak)
		if all += ends; ends >= 3 {
			often++
		}
	}
	return all, often
}
