package document

import "strings"

// Mark says whether a line is in both bodies, or only in the old or new one.
type Mark string

// Line marks.
const (
	Unchanged Mark = " "
	Removed   Mark = "-"
	Added     Mark = "+"
)

// Line is one line of a difference.
type Line struct {
	Mark Mark
	Text string
}

// maxDifferenceLines limits the lines that are compared one by one, because
// memory use is quadratic in their number.
const maxDifferenceLines = 4000

// Difference compares two bodies line by line. It returns nil if they are
// equal. If the part between the common prefix and suffix is too long to
// compare, all of its lines are reported as removed and added.
func Difference(before, after string) []Line {
	if before == after {
		return nil
	}
	old, now := splitLines(before), splitLines(after)
	head := 0
	for head < min(len(old), len(now)) && old[head] == now[head] {
		head++
	}
	tail := 0
	for tail < min(len(old), len(now))-head && old[len(old)-1-tail] == now[len(now)-1-tail] {
		tail++
	}
	out := markLines(Unchanged, old[:head])
	out = append(out, compareLines(old[head:len(old)-tail], now[head:len(now)-tail])...)
	return append(out, markLines(Unchanged, old[len(old)-tail:])...)
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

func markLines(m Mark, texts []string) []Line {
	out := make([]Line, len(texts))
	for i, text := range texts {
		out[i] = Line{m, text}
	}
	return out
}

// compareLines compares lines by their longest common subsequence.
func compareLines(old, now []string) []Line {
	if len(old)+len(now) > maxDifferenceLines {
		return append(markLines(Removed, old), markLines(Added, now)...)
	}
	common := make([][]int, len(old)+1)
	for i := range common {
		common[i] = make([]int, len(now)+1)
	}
	for i := len(old) - 1; i >= 0; i-- {
		for j := len(now) - 1; j >= 0; j-- {
			if old[i] == now[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	var out []Line
	i, j := 0, 0
	for i < len(old) && j < len(now) {
		switch {
		case old[i] == now[j]:
			out = append(out, Line{Unchanged, old[i]})
			i, j = i+1, j+1
		case common[i+1][j] >= common[i][j+1]:
			out = append(out, Line{Removed, old[i]})
			i++
		default:
			out = append(out, Line{Added, now[j]})
			j++
		}
	}
	out = append(out, markLines(Removed, old[i:])...)
	return append(out, markLines(Added, now[j:])...)
}
