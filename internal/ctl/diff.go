package ctl

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/tables"
)

func newDiff() *cobra.Command {
	var asJSON, exitCode bool
	cmd := &cobra.Command{
		Use:   "diff OLD-DIR NEW-DIR",
		Short: "Show what changes between two versions of the tables",
		Long: "diff lists routes, pools and targets that change, the parts to publish, and the share\n" +
			"of adapters whose first rank moves to another target. Each of these adapters costs one\nload when it is next used.\n\n" + dirText + "\n\n" + exitText,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			before, beforeErr := loadTables(args[0])
			after, afterErr := loadTables(args[1])
			if err := joinErrors(beforeErr, afterErr); err != nil {
				return err
			}
			changes := tables.Diff(before, after)
			if asJSON {
				if err := printJSON(cmd, changes); err != nil {
					return err
				}
			} else {
				printChanges(cmd, changes, before, after)
			}
			if exitCode && len(changes.List) > 0 {
				return &failure{exit: ExitDiffers}
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.Flags().BoolVar(&exitCode, "exit-code", false, "exit with 4 if there is a difference")
	return cmd
}

// printChanges prints one line for each change, the number of adapters that move and
// the size of the parts to publish.
func printChanges(cmd *cobra.Command, c *tables.Changes, before, after *tables.Snapshot) {
	for _, change := range c.List {
		detail := ""
		switch {
		case change.Before != "" && change.After != "":
			detail = fmt.Sprintf(": %s -> %s", change.Before, change.After)
		case change.Before+change.After != "":
			detail = ": " + change.Before + change.After
		}
		printf(cmd, "%s %s%s\n", change.Kind, change.Name, detail)
	}
	if len(c.List) == 0 {
		printf(cmd, "no differences\n")
	}
	changed, size := 0, 0
	for key, data := range after.Parts() {
		if _, ok := before.Part(key); !ok {
			changed, size = changed+1, size+len(data)
		}
	}
	printf(cmd, "%s; first rank moves for %d of %s (%s)\n", plural(len(c.List), "change"), c.FirstRankMoved, plural(c.Adapters, "adapter"), percent(c.MovedShare()))
	printf(cmd, "to publish: %d of %s, %s, and the manifest\n", changed, plural(len(after.Parts()), "part"), plural(size, "byte"))
}

// percent formats a share of 0 to 1 as a percentage with at most one decimal.
func percent(share float64) string {
	return strings.TrimSuffix(fmt.Sprintf("%.1f", 100*share), ".0") + "%"
}
