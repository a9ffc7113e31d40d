package enginebench

import (
	"fmt"
	"strings"

	"github.com/samber/lo"
)

// Table returns rows as a Markdown table.
func Table(rows []Row) string {
	var table strings.Builder
	table.WriteString("| Fleet | Load | Policy | Credit | Worst kind | Long: in time / largest tenth | Middle | Short | TTFT p50 / p95 / p99, ms | Read | Read again | gone / believed / pulled / chosen | Moved | Other zone | Refused | Preempted |\n")
	table.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, row := range rows {
		result := &row.Result
		fmt.Fprintf(&table, "| %s | %g | %s | %.3f | %.3f |", row.Fleet, row.Load, row.Name, result.Credit, result.Worst)
		for _, name := range []string{"long", "middle", "short"} {
			class := result.ByClass[name]
			fmt.Fprintf(&table, " %.3f / %.3f |", class.InTime, class.LargestTenth)
		}
		reasons := lo.Map(Rereads(), func(reason Reread, _ int) string { return fmt.Sprintf("%.0f", result.Rereads[reason]) })
		fmt.Fprintf(&table, " %d / %d / %d | %.0f | %.0f | %s | %.0f | %.2f | %d | %d |\n",
			result.TTFT50.Milliseconds(), result.TTFT95.Milliseconds(), result.TTFT99.Milliseconds(),
			result.ReadTokens, result.RereadTokens, strings.Join(reasons, " / "), result.MovedTokens, result.CrossZone, result.Refused, result.Preempted)
	}
	return table.String()
}
