package yamlfile

// maxDistance is the greatest edit distance at which a known name is suggested for
// an unknown one.
const maxDistance = 3

// Nearest returns the known name with the smallest edit distance to a misspelt one,
// or "" if none is similar enough.
func Nearest(name string, known []string) string {
	best, bestDistance := "", maxDistance+1
	for _, k := range known {
		d := editDistance(name, k)
		if d < bestDistance && d < max(len(k), len(name)) {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between two names, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitution := diagonal
			if a[i] != b[j] {
				substitution++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitution, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
