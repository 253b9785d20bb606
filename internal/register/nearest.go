package register

import (
	"fmt"
	"strings"
)

// maxSuggestLength bounds the work of comparing names, which is the product of their lengths.
const maxSuggestLength = 128

// suggest returns a remedy that names the known name nearest to a misspelt one, or otherwise when none is near.
func suggest(name string, known []string, otherwise string) string {
	if near, ok := nearest(name, known); ok {
		return fmt.Sprintf("did you mean %q?", near)
	}
	return otherwise
}

// nearest returns the known name with the fewest differences, at most a third of its length and at least one.
func nearest(name string, known []string) (string, bool) {
	from := []rune(strings.ToLower(name))
	if len(from) == 0 || len(from) > maxSuggestLength {
		return "", false
	}
	best, found, fewest := "", false, 0
	for _, candidate := range known {
		to := []rune(strings.ToLower(candidate))
		if len(to) > maxSuggestLength {
			continue
		}
		d := distance(from, to)
		if d <= max(1, len(to)/3) && (!found || d < fewest) {
			best, found, fewest = candidate, true, d
		}
	}
	return best, found
}

// distance counts the insertions, deletions, replacements and swaps of neighbours between a and b (optimal string
// alignment).
func distance(a, b []rune) int {
	rows := [3][]int{make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)}
	for j := range rows[0] {
		rows[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		row, above, twoAbove := rows[i%3], rows[(i+2)%3], rows[(i+1)%3]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			row[j] = min(above[j]+1, row[j-1]+1, above[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], twoAbove[j-2]+1)
			}
		}
	}
	return rows[len(a)%3][len(b)]
}
