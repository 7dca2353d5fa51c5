package report

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"oxbowloft/internal/scale/fit"
	"oxbowloft/internal/scale/runner"
	"oxbowloft/internal/scale/traffic"
)

// notMeasured is printed in place of a missing value.
const notMeasured = "-"

// Markdown formats a result as a page of tables.
func Markdown(result *runner.Result) string {
	var page strings.Builder
	writeHead(&page, result)
	writeSteadyState(&page, result.Sizes)
	writeMessageKinds(&page, result.Sizes)
	writeFaults(&page, result.Sizes)
	writeFits(&page, result.Fits)
	return page.String()
}

func writeHead(page *strings.Builder, result *runner.Result) {
	plan, environment := &result.Experiment, &result.Environment
	fmt.Fprintf(page, "# Scale run: %s\n\n", plan.Name)
	fmt.Fprintf(page, "- Command: `%s`\n", strings.Join(environment.Command, " "))
	fmt.Fprintf(page, "- Begun: %s\n", environment.StartedAt.UTC().Format(time.RFC3339))
	fmt.Fprintf(page, "- Seed: %d\n", plan.Seed)
	fmt.Fprintf(page, "- Sizes: %s; zones: %d\n", joinNumbers(plan.Sizes), plan.Zones)
	fmt.Fprintf(page, "- %s, %d cores, %d of them used at a time\n", environment.GoVersion, environment.Cores, environment.GoMaxProcs)
	fmt.Fprintf(page, "- Links: %s\n", linksText(result.Relayed))
	for _, size := range result.Sizes {
		if size.Failure != "" {
			fmt.Fprintf(page, "- **Failed** at %d members: %s\n", size.Size, size.Failure)
		}
	}
	if len(result.NotRun) > 0 {
		fmt.Fprintf(page, "- **Not run**: %s members\n", joinNumbers(result.NotRun))
	}
}

func linksText(relayed bool) string {
	if relayed {
		return "through relays of the same process, whose processor time, memory, goroutines and descriptors are in the figures"
	}
	return "direct"
}

func joinNumbers(numbers []int) string {
	words := make([]string, len(numbers))
	for index, value := range numbers {
		words[index] = strconv.Itoa(value)
	}
	return strings.Join(words, ", ")
}

// steadyStateColumn is one column of the steady state table.
type steadyStateColumn struct {
	title string
	value func(*runner.SteadyState) float64
}

var steadyStateColumns = []steadyStateColumn{
	{"bytes/s out", func(steady *runner.SteadyState) float64 { return steady.BytesOut.Mean }},
	{"out, p99", func(steady *runner.SteadyState) float64 { return steady.BytesOut.P99 }},
	{"out, on connections", func(steady *runner.SteadyState) float64 { return steady.StreamOut.Mean }},
	{"bytes/s in", func(steady *runner.SteadyState) float64 { return steady.BytesIn.Mean }},
	{"messages/s out", func(steady *runner.SteadyState) float64 { return steady.MessagesOut.Mean }},
	{"messages/s in", func(steady *runner.SteadyState) float64 { return steady.MessagesIn.Mean }},
	{"bytes of one side of an exchange", func(steady *runner.SteadyState) float64 { return steady.ExchangeBytes }},
	{"processor, ms/s", func(steady *runner.SteadyState) float64 { return steady.PerMember.CPUMillisPerSecond }},
	{"resident, KiB", func(steady *runner.SteadyState) float64 { return steady.PerMember.ResidentKiB }},
	{"goroutines", func(steady *runner.SteadyState) float64 { return steady.PerMember.Goroutines }},
	{"descriptors", func(steady *runner.SteadyState) float64 { return steady.PerMember.Descriptors }},
}

func writeSteadyState(page *strings.Builder, sizes []runner.SizeResult) {
	page.WriteString("\n## At rest, for each member\n\n")
	titles := []string{"members", "one view after, s"}
	for _, column := range steadyStateColumns {
		titles = append(titles, column.title)
	}
	writeTitles(page, titles)
	for _, size := range sizes {
		cells := []string{strconv.Itoa(size.Size), secondsText(size.StartSeconds)}
		for _, column := range steadyStateColumns {
			cells = append(cells, steadyStateText(size.SteadyState, column.value))
		}
		writeRow(page, cells)
	}
}

func steadyStateText(steady *runner.SteadyState, value func(*runner.SteadyState) float64) string {
	if steady == nil {
		return notMeasured
	}
	return formatFigure(value(steady))
}

func writeMessageKinds(page *strings.Builder, sizes []runner.SizeResult) {
	page.WriteString("\n## Messages sent a second by each member at rest, by kind\n\n")
	titles := []string{"members"}
	for kind := range traffic.KindCount {
		titles = append(titles, kind.String())
	}
	writeTitles(page, titles)
	for _, size := range sizes {
		cells := []string{strconv.Itoa(size.Size)}
		for kind := range traffic.KindCount {
			cells = append(cells, steadyStateText(size.SteadyState, func(steady *runner.SteadyState) float64 { return steady.KindsOut[kind.String()] }))
		}
		writeRow(page, cells)
	}
}

func writeFaults(page *strings.Builder, sizes []runner.SizeResult) {
	page.WriteString("\n## Faults: seconds until a member's view is as the fault makes it\n\n")
	writeTitles(page, []string{"members", "fault", "p50", "p99", "last member", "views that were not"})
	for _, size := range sizes {
		for _, fault := range size.Faults {
			writeRow(page, []string{
				strconv.Itoa(size.Size),
				faultText(&fault),
				distributionText(fault.ConvergenceSeconds.Count, fault.ConvergenceSeconds.Median),
				distributionText(fault.ConvergenceSeconds.Count, fault.ConvergenceSeconds.P99),
				secondsText(fault.AllConvergedSeconds),
				strconv.Itoa(fault.Unconverged),
			})
		}
	}
}

func faultText(fault *runner.FaultResult) string {
	text := fmt.Sprintf("%s at %g s", fault.Kind, fault.At)
	switch count := len(fault.Members); {
	case count == 1:
		text += " (1 member)"
	case count > 1:
		text += fmt.Sprintf(" (%d members)", count)
	}
	if fault.Zone > 0 {
		text += fmt.Sprintf(" (zone %d)", fault.Zone)
	}
	return text
}

func distributionText(count int64, value float64) string {
	if count == 0 {
		return notMeasured
	}
	return formatFigure(value)
}

// secondsText formats a time, of which zero means not measured.
func secondsText(seconds float64) string {
	if seconds == 0 {
		return notMeasured
	}
	return formatFigure(seconds)
}

func writeFits(page *strings.Builder, fits []runner.NamedFit) {
	page.WriteString("\n## Growth with the number of members: lines by least squares\n\n")
	page.WriteString("The bend is the sign of a quadratic term where it differs from zero at the 95% level.\n\n")
	writeTitles(page, []string{"measure", "unit", "at 0 members", "by each 100 members", "standard error", "bend"})
	for _, each := range fits {
		writeRow(page, []string{
			each.Measure,
			each.Unit,
			formatFigure(each.Line.Intercept),
			formatFigure(each.Line.Slope * membersPerPrintedSlope),
			errorText(each.Line),
			curvatureText(each.Line.Curvature),
		})
	}
}

// membersPerPrintedSlope is the number of members that a printed slope refers to.
const membersPerPrintedSlope = 100

func errorText(line fit.Line) string {
	if !line.SlopeErrorKnown {
		return "not known"
	}
	return formatFigure(line.SlopeError * membersPerPrintedSlope)
}

func curvatureText(bend fit.Curvature) string {
	if bend == fit.CurvatureUp {
		return "**bends upward**"
	}
	return string(bend)
}

func writeTitles(page *strings.Builder, titles []string) {
	writeRow(page, titles)
	writeRow(page, slices.Repeat([]string{"---"}, len(titles)))
}

func writeRow(page *strings.Builder, cells []string) {
	page.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// formatFigure prints three significant digits, and all digits of the integer part.
func formatFigure(value float64) string {
	switch magnitude := max(value, -value); {
	case magnitude >= 100:
		return strconv.FormatFloat(value, 'f', 0, 64)
	case magnitude >= 10:
		return strconv.FormatFloat(value, 'f', 1, 64)
	default:
		return strconv.FormatFloat(value, 'g', 3, 64)
	}
}
