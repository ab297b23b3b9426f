package document

import "strings"

// Mark tells where a line of a difference stands.
type Mark string

// The marks of lines.
const (
	Kept    Mark = " "
	Removed Mark = "-"
	Added   Mark = "+"
)

// Line is one line of a difference.
type Line struct {
	Mark Mark
	Text string
}

// maxDifferenceLines bounds the lines that are compared one by one; the
// memory grows with its square.
const maxDifferenceLines = 4000

// Difference compares two bodies line by line. It returns nil if they are the
// same. What lies between equal beginnings and ends is shown as replaced if
// it is too long to compare.
func Difference(before, after string) []Line {
	if before == after {
		return nil
	}
	old, now := lines(before), lines(after)
	head := 0
	for head < min(len(old), len(now)) && old[head] == now[head] {
		head++
	}
	tail := 0
	for tail < min(len(old), len(now))-head && old[len(old)-1-tail] == now[len(now)-1-tail] {
		tail++
	}
	out := marked(Kept, old[:head])
	out = append(out, middle(old[head:len(old)-tail], now[head:len(now)-tail])...)
	return append(out, marked(Kept, old[len(old)-tail:])...)
}

func lines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

func marked(m Mark, texts []string) []Line {
	out := make([]Line, len(texts))
	for i, text := range texts {
		out[i] = Line{m, text}
	}
	return out
}

// middle compares by the longest common subsequence.
func middle(old, now []string) []Line {
	if len(old)+len(now) > maxDifferenceLines {
		return append(marked(Removed, old), marked(Added, now)...)
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
			out = append(out, Line{Kept, old[i]})
			i, j = i+1, j+1
		case common[i+1][j] >= common[i][j+1]:
			out = append(out, Line{Removed, old[i]})
			i++
		default:
			out = append(out, Line{Added, now[j]})
			j++
		}
	}
	out = append(out, marked(Removed, old[i:])...)
	return append(out, marked(Added, now[j:])...)
}
