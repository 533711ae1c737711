package account

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
)

// minShownShare is the share from which a cause has a row of its own.
const minShownShare = 0.0005

// otherCauses is the row for all causes below it.
const otherCauses = "all other causes"

// WriteTable writes the losses of several days side by side in Markdown, causes by
// their sum over the days. Each column adds up to what its day lacks of 1.
func WriteTable(out io.Writer, days []Day) error {
	causes, shares := lossesByCause(days)
	head, rule := "| cause |", "|---|"
	for _, day := range days {
		head += " " + day.Name + " |"
		rule += "---|"
	}
	lines := []string{head, rule}
	for _, cause := range causes {
		lines = append(lines, formatRow(cause, shares[cause]))
	}
	all := make([]float64, len(days))
	for place := range days {
		all[place] = 1 - days[place].Score
	}
	lines = append(lines, formatRow("**all that was lost**", all))
	_, err := fmt.Fprintln(out, strings.Join(lines, "\n"))
	return err
}

// lossesByCause gives the causes in order and what each cost on each day.
func lossesByCause(days []Day) (causes []string, shares map[string][]float64) {
	shares = map[string][]float64{}
	sums := map[string]float64{}
	for place := range days {
		for _, loss := range days[place].Losses() {
			if shares[loss.Cause] == nil {
				shares[loss.Cause] = make([]float64, len(days))
			}
			shares[loss.Cause][place] += loss.Share
			sums[loss.Cause] += loss.Share
		}
	}
	for cause, each := range shares {
		if cause == otherCauses || maxMagnitude(each) >= minShownShare {
			continue
		}
		if shares[otherCauses] == nil {
			shares[otherCauses] = make([]float64, len(days))
		}
		for place, share := range each {
			shares[otherCauses][place] += share
		}
		delete(shares, cause)
	}
	for cause := range shares {
		causes = append(causes, cause)
	}
	sort.Slice(causes, func(a, b int) bool {
		one, other := causes[a], causes[b]
		if (one == otherCauses) != (other == otherCauses) {
			return other == otherCauses
		}
		if sums[one] != sums[other] {
			return sums[one] > sums[other]
		}
		return one < other
	})
	return causes, shares
}

// maxMagnitude is the greatest of some shares, whatever their sign.
func maxMagnitude(shares []float64) (most float64) {
	for _, share := range shares {
		most = max(most, math.Abs(share))
	}
	return most
}

// formatRow is one row of the table.
func formatRow(name string, shares []float64) string {
	text := "| " + name + " |"
	for _, share := range shares {
		text += fmt.Sprintf(" %.4f |", share)
	}
	return text
}
