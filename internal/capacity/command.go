package capacity

import (
	"fmt"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/procfleet"
)

// Command returns the command that measures all slopes.
func Command() *cobra.Command {
	var bin string
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
			list, err := measureAll(bin)
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
				fmt.Fprintf(out, "%-9s %d\n", name, sizes[name])
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&bin, "bin", "", "folder with the compiled programs")
	return cmd
}

func measureAll(bin string) ([]Series, error) {
	var all []Series
	for _, m := range []func() ([]Series, error){
		func() ([]Series, error) { return TableRows([]int{3000, 7000, 14000, 28000}) },
		func() ([]Series, error) { return Targets([]int{12, 120, 1100}) },
		func() ([]Series, error) { return Adapters([]int{1000, 5000, 14000}) },
		func() ([]Series, error) { return Sessions(bin, []int{2, 12, 32}) },
		func() ([]Series, error) { return Requests(bin, []int{50, 150, 300}) },
		func() ([]Series, error) { return Tokens(bin, []int{200, 400, 800}) },
	} {
		list, err := m()
		if err != nil {
			return all, err
		}
		all = append(all, list...)
	}
	return all, nil
}
