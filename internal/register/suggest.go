package register

import (
	"fmt"
	"strings"
)

// maxSuggestLength is the maximum length of names that are compared, in characters. It bounds the work, which is the
// product of the lengths.
const maxSuggestLength = 128

// suggest returns a remedy that proposes the known name most similar to the misspelt one, or the fallback when none is
// similar enough.
func suggest(name string, known []string, fallback string) string {
	if near, ok := nearest(name, known); ok {
		return fmt.Sprintf("did you mean %q?", near)
	}
	return fallback
}

// nearest returns the known name with the smallest edit distance from name, ignoring case. The distance may be at most
// a third of the known name's length, or 1 for short names. It returns false when there is no such name.
func nearest(name string, known []string) (string, bool) {
	from := []rune(strings.ToLower(name))
	if len(from) == 0 || len(from) > maxSuggestLength {
		return "", false
	}
	best, found, bestDistance := "", false, 0
	for _, candidate := range known {
		to := []rune(strings.ToLower(candidate))
		if len(to) > maxSuggestLength {
			continue
		}
		d := editDistance(from, to)
		if d <= max(1, len(to)/3) && (!found || d < bestDistance) {
			best, found, bestDistance = candidate, true, d
		}
	}
	return best, found
}

// editDistance returns the optimal string alignment distance: the minimum number of insertions, deletions,
// substitutions and swaps of adjacent characters that change a into b when no part of the text is edited twice.
func editDistance(a, b []rune) int {
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
