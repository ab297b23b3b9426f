package allocation_test

// readPrompts simulates an engine that reads a number of tokens of the prompts that wait
// there, those of the best rank first. It calls done for each prompt that it has read, and
// returns the others. Fields returns the tokens left of a prompt and its rank.
func readPrompts[P any](queue []P, budget float64, fields func(*P) (left *float64, rank int), done func(P)) []P {
	for budget > 0 && len(queue) > 0 {
		first := 0
		_, best := fields(&queue[0])
		for i := range queue {
			if _, rank := fields(&queue[i]); rank < best {
				first, best = i, rank
			}
		}
		left, _ := fields(&queue[first])
		read := min(budget, *left)
		budget -= read
		if *left -= read; *left <= 0 {
			done(queue[first])
			queue = append(queue[:first], queue[first+1:]...)
		}
	}
	return queue
}
