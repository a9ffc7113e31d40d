package bench

import (
	"fmt"
	"strings"
)

// AblationTable returns the rows as a Markdown table.
func AblationTable(rows []AblationRow) string {
	var table strings.Builder
	table.WriteString("| Mix | Knob | Value | Mean TTFT, ms | of base | p95 TTFT, ms | Output token, ms | Reused | Pulled tokens | Deferred |\n")
	table.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, row := range rows {
		fmt.Fprintf(&table, "| %s | %s | %s | %.0f | %.2f | %.0f | %.1f | %.3f | %.1f M | %.0f |\n",
			row.Mix, row.Knob, row.Value, row.TTFTMeanMS, row.TTFTOfBase, row.TTFTP95MS,
			row.OutputTokenMeanMS, row.ReusedTokenRatio, row.PulledTokens/1e6, row.Deferred)
	}
	return table.String()
}
