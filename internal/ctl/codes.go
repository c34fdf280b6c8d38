package ctl

import (
	"fmt"
	"runtime/debug"
	"strconv"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

func newCodes() *cobra.Command {
	var markdown bool
	cmd := &cobra.Command{
		Use:   "codes [CODE]...",
		Short: "List the result codes",
		Args:  cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if markdown && len(args) > 0 {
				return usageError("--markdown takes no codes")
			}
			if markdown {
				if err := result.WriteMarkdown(cmd.OutOrStdout()); err != nil {
					return unreadableError(err)
				}
				return nil
			}
			list, err := selectCodes(args)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
			_, _ = fmt.Fprintln(w, "CODE\tNAME\tHTTP\tEXECUTION\tCALLER MAY REPEAT\tMEANING")
			for _, info := range list {
				status := "-"
				if info.HTTP > 0 {
					status = strconv.Itoa(info.HTTP)
				}
				_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", info.Code, info.Name, status, info.Execution, info.CallerRetry, info.Meaning)
			}
			_ = w.Flush()
			return nil
		},
	}
	cmd.Flags().BoolVar(&markdown, "markdown", false, "print the page docs/CODES.md")
	return cmd
}

// selectCodes returns the codes with the given numbers or names, or all codes if
// there are no arguments.
func selectCodes(args []string) ([]result.Info, error) {
	if len(args) == 0 {
		return result.All(), nil
	}
	var list []result.Info
	for _, arg := range args {
		found := false
		for _, info := range result.All() {
			if arg == info.Name || arg == strconv.Itoa(int(info.Code)) {
				list = append(list, info)
				found = true
			}
		}
		if !found {
			return nil, usageError("no result code %q", arg)
		}
	}
	return list, nil
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of agatectl and of the protocol",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			version, revision := "(devel)", ""
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						revision = " " + s.Value
					}
				}
			}
			printf(cmd, "agatectl %s%s, protocol %d\n", version, revision, wire.ProtocolVersion)
			return nil
		},
	}
}
