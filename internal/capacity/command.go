package capacity

import (
	"fmt"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/procfleet"
)

// Command returns the command that measures the slopes.
func Command() *cobra.Command {
	var bin string
	var only []string
	cmd := &cobra.Command{
		Use: "slopes", Short: "Measure the slopes of docs/CAPACITY.md", Args: cobra.NoArgs,
		Long: "Measures at three or more sizes what one more route, target, adapter, session,\n" +
			"call or token costs. Without --bin it compiles the programs first.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if bin == "" {
				dir, err := os.MkdirTemp("", "agate-bin")
				if err != nil {
					return err
				}
				defer os.RemoveAll(dir)
				if err := procfleet.Build(dir); err != nil {
					return err
				}
				bin = dir
			}
			list, err := measureAll(bin, only)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			Print(out, list)
			fmt.Fprintln(out, "\nmessage sizes in bytes, with the frame header")
			sizes := MessageSizes()
			names := make([]string, 0, len(sizes))
			for name := range sizes {
				names = append(names, name)
			}
			slices.Sort(names)
			for _, name := range names {
				fmt.Fprintf(out, "%-13s %d\n", name, sizes[name])
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&bin, "bin", "", "directory of the compiled programs; default: compile them")
	cmd.Flags().StringSliceVar(&only, "only", nil, "groups to measure: tables, targets, adapters, sessions, calls, tokens (default all)")
	return cmd
}

// measureAll measures the groups named in only, or all if it is empty.
func measureAll(bin string, only []string) ([]Series, error) {
	var all []Series
	for _, group := range []struct {
		name    string
		measure func() ([]Series, error)
	}{
		// The group "tables" varies the number of routes in the route table.
		{"tables", func() ([]Series, error) { return MeasureRoutes([]int{3000, 7000, 14000, 28000}) }},
		{"targets", func() ([]Series, error) { return MeasureTargets([]int{12, 120, 1100}) }},
		{"adapters", func() ([]Series, error) { return MeasureAdapters([]int{1000, 5000, 14000}) }},
		{"sessions", func() ([]Series, error) { return MeasureSessions(bin, []int{2, 12, 32}) }},
		{"calls", func() ([]Series, error) { return MeasureCalls(bin, []int{50, 150, 300}) }},
		{"tokens", func() ([]Series, error) { return MeasureTokens(bin, []int{200, 400, 800}) }},
	} {
		if len(only) > 0 && !slices.Contains(only, group.name) {
			continue
		}
		list, err := group.measure()
		if err != nil {
			return all, err
		}
		all = append(all, list...)
	}
	return all, nil
}
