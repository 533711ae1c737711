package account

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
)

// minShownShare is the smallest share for which a cause gets a row of its own.
const minShownShare = 0.0005

// otherCauses is the row that sums up all causes below minShownShare.
const otherCauses = "all other causes"

// WriteTable writes the losses of the days side by side as a Markdown table, with
// the causes ordered by their sum over all days. Each column adds up to the total
// loss of its day, 1 - Score.
func WriteTable(out io.Writer, days []Day) error {
	causes, shares := lossesByCause(days)
	header, separator := "| cause |", "|---|"
	for _, day := range days {
		header += " " + day.Name + " |"
		separator += "---|"
	}
	lines := []string{header, separator}
	for _, cause := range causes {
		lines = append(lines, formatRow(cause, shares[cause]))
	}
	totals := make([]float64, len(days))
	for index := range days {
		totals[index] = 1 - days[index].Score
	}
	lines = append(lines, formatRow("**total loss**", totals))
	_, err := fmt.Fprintln(out, strings.Join(lines, "\n"))
	return err
}

// lossesByCause returns the causes in the order of the table, and the share that
// each of them cost on each day. Small causes are merged into otherCauses.
func lossesByCause(days []Day) (causes []string, shares map[string][]float64) {
	shares = map[string][]float64{}
	totals := map[string]float64{}
	for index := range days {
		for _, loss := range days[index].Losses() {
			if shares[loss.Cause] == nil {
				shares[loss.Cause] = make([]float64, len(days))
			}
			shares[loss.Cause][index] += loss.Share
			totals[loss.Cause] += loss.Share
		}
	}
	for cause, byDay := range shares {
		if cause == otherCauses || maxMagnitude(byDay) >= minShownShare {
			continue
		}
		if shares[otherCauses] == nil {
			shares[otherCauses] = make([]float64, len(days))
		}
		for index, share := range byDay {
			shares[otherCauses][index] += share
		}
		delete(shares, cause)
	}
	for cause := range shares {
		causes = append(causes, cause)
	}
	sort.Slice(causes, func(a, b int) bool {
		first, second := causes[a], causes[b]
		if (first == otherCauses) != (second == otherCauses) {
			return second == otherCauses
		}
		if totals[first] != totals[second] {
			return totals[first] > totals[second]
		}
		return first < second
	})
	return causes, shares
}

// maxMagnitude returns the largest absolute value of the shares.
func maxMagnitude(shares []float64) (magnitude float64) {
	for _, share := range shares {
		magnitude = max(magnitude, math.Abs(share))
	}
	return magnitude
}

// formatRow formats one row of the Markdown table.
func formatRow(label string, shares []float64) string {
	row := "| " + label + " |"
	for _, share := range shares {
		row += fmt.Sprintf(" %.4f |", share)
	}
	return row
}
