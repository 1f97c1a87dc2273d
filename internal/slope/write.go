package slope

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Files that Write creates, besides one SVG file for each series.
const (
	PointsFile = "slopes.csv" // all points and facts
	TableFile  = "slopes.md"  // the fits
)

const (
	fileMode   = 0o644
	folderMode = 0o755
	factRow    = "Fact"
)

// Write writes the points, the table of fits and the plots into a folder.
func (rp *Report) Write(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("create the folder: %w", err)
	}
	for _, doc := range []struct {
		name  string
		write func(out io.Writer) error
	}{{PointsFile, rp.writePoints}, {TableFile, rp.writeTable}} {
		if err := writeFile(filepath.Join(folder, doc.name), doc.write); err != nil {
			return err
		}
	}
	for _, se := range rp.Series {
		if err := se.plot(filepath.Join(folder, se.Name+".svg")); err != nil {
			return fmt.Errorf("plot %s: %w", se.Name, err)
		}
	}
	return nil
}

func writeFile(path string, write func(out io.Writer) error) error {
	var sb strings.Builder
	if err := write(&sb); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := os.WriteFile(path, []byte(sb.String()), fileMode); err != nil {
		return fmt.Errorf("write the file: %w", err)
	}
	return nil
}

// writePoints writes one row for each point and each fact.
func (rp *Report) writePoints(out io.Writer) error {
	cw := csv.NewWriter(out)
	rows := [][]string{{"Series", "Kind", "Along", "X", "Y", "Unit"}}
	for _, se := range rp.Series {
		for _, pt := range se.Points {
			rows = append(rows, []string{se.Name, string(se.Kind), se.Along, number(pt.X), number(pt.Y), se.Unit})
		}
	}
	for _, fa := range rp.Facts {
		rows = append(rows, []string{fa.Name, string(fa.Kind), factRow, "", number(fa.Value), fa.Unit})
	}
	if err := cw.WriteAll(rows); err != nil {
		return fmt.Errorf("write rows: %w", err)
	}
	return nil
}

// writeTable writes the fits and facts as Markdown tables.
func (rp *Report) writeTable(out io.Writer) error {
	var sb strings.Builder
	sb.WriteString("# Slopes\n\nMade by `go run ./cmd/alderslope`; do not edit. Residual is the standard deviation of\n" +
		"the points around the fit, worst the largest distance of a point as a part of its value.\n\n" +
		"| Series | Kind | Along | Fit | R² | Residual | Worst | Read off | Unit |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, se := range rp.Series {
		ft := se.Fit()
		fmt.Fprintf(&sb, "| [%s](%s.svg) | %s | %s | %s | %.3f | %s | %.0f %% | %s at %s | %s |\n", se.Name, se.Name, se.Kind, se.Along,
			ft.formula(), ft.RSquared, number(ft.Residual), 100*ft.Worst, number(ft.AtTarget), number(se.Target), se.Unit)
	}
	sb.WriteString("\n| Fact | Kind | Value | Unit |\n| --- | --- | --- | --- |\n")
	for _, fa := range rp.Facts {
		fmt.Fprintf(&sb, "| %s | %s | %s | %s |\n", fa.Name, fa.Kind, number(fa.Value), fa.Unit)
	}
	if _, err := io.WriteString(out, sb.String()); err != nil {
		return fmt.Errorf("write a table: %w", err)
	}
	return nil
}

func (ft Fit) formula() string {
	switch ft.Shape {
	case Constant:
		return "mean " + number(ft.Intercept)
	case Logarithmic:
		return fmt.Sprintf("%s %+.4g ln x", number(ft.Intercept), ft.Slope)
	default:
		return fmt.Sprintf("%s %+.4g x", number(ft.Intercept), ft.Slope)
	}
}

func number(val float64) string { return strconv.FormatFloat(val, 'g', 4, 64) }
