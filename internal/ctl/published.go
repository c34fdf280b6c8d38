package ctl

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/platform"
)

const sourceText = "A SOURCE is a file with the value of the platform's configuration, or http://HOST:PORT of\nits metadata store, which also has targets and adapter versions."

// Exit codes of platform diff, as those of the usual diff.
const (
	exitDifferent = 1
	exitTrouble   = 2
)

// outputFormat is the value of --output.
type outputFormat string

func (f *outputFormat) addFlag(cmd *cobra.Command) {
	*f = "text"
	cmd.Flags().StringVar((*string)(f), "output", "text", "text or json")
}

func (f outputFormat) check() error {
	if f != "text" && f != "json" {
		return usageError("--output %q is neither text nor json", f)
	}
	return nil
}

// newPlatform returns the commands for the state that operator and targets publish on
// the users' platform.
func newPlatform() *cobra.Command {
	cmd := &cobra.Command{
		Use: "platform", Short: "Compare and explain what is published on the users' platform", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return usageError("a command is missing") },
	}
	cmd.AddCommand(newPlatformDiff(), newPlatformExplain())
	return cmd
}

// loadState reads a source. Faults in its content and sources that cannot be read have
// different exit codes.
func loadState(cmd *cobra.Command, source string) (*catalog.View, error) {
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	view, err := platform.LoadState(ctx, source)
	var pathError *fs.PathError
	switch {
	case err == nil:
		return view, nil
	case errors.As(err, &pathError), result.CodeOf(err) == result.PlatformUnreached:
		return nil, unreadableError(err)
	}
	return nil, &failure{ExitFaults, []error{err}}
}

// fileFaults returns an error if entries cannot use a part of the configuration in a file. A
// store keeps such a configuration in force.
func fileFaults(source string, view *catalog.View) error {
	if view == nil || platform.IsStore(source) {
		return nil
	}
	return faultsError(platform.ConfigFaults(source, view.Config))
}

func newPlatformDiff() *cobra.Command {
	var output outputFormat
	cmd := &cobra.Command{
		Use:   "diff SOURCE SOURCE",
		Short: "Show what differs between two published states",
		Long:  "diff prints one line for each property of a route, pool, workspace, limit, target or\nadapter that differs; of keys only their number.\n" + sourceText + "\n\nExit codes: 0 no difference, 1 a difference, 2 a source has faults or could not be read, or\nwrong usage.",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := output.check(); err != nil {
				return err
			}
			before, beforeErr := loadState(cmd, args[0])
			after, afterErr := loadState(cmd, args[1])
			if err := joinErrors(beforeErr, afterErr, fileFaults(args[0], before), fileFaults(args[1], after)); err != nil {
				var f *failure
				errors.As(err, &f)
				return &failure{exitTrouble, f.errors}
			}
			list := catalog.Compare(before, after)
			if output == "json" {
				if err := printJSON(cmd, append([]catalog.Difference{}, list...)); err != nil {
					return err
				}
			} else {
				printDifferences(cmd, list)
			}
			if len(list) > 0 {
				return &failure{exit: exitDifferent}
			}
			return nil
		},
	}
	output.addFlag(cmd)
	return cmd
}

func printDifferences(cmd *cobra.Command, list []catalog.Difference) {
	for _, d := range list {
		switch {
		case d.Before == "":
			printf(cmd, "%s: %s: added, %s\n", d.Subject, d.Name, d.After)
		case d.After == "":
			printf(cmd, "%s: %s: removed, was %s\n", d.Subject, d.Name, d.Before)
		default:
			printf(cmd, "%s: %s: %s -> %s\n", d.Subject, d.Name, d.Before, d.After)
		}
	}
}

// PublishedExplanation describes how one request is routed by a published state.
type PublishedExplanation struct {
	Version     int64          `json:"version"`
	Route       string         `json:"route"`
	Pools       []PoolShare    `json:"pools"`
	Adapter     string         `json:"adapter,omitempty"`
	MinVersion  int            `json:"adapter_version,omitempty"`
	MaxAttempts int            `json:"max_attempts"`
	Timeout     string         `json:"timeout"`
	Targets     []TargetChoice `json:"targets,omitempty"`
	Why         []string       `json:"why"`
}

// PoolShare is a pool with its share of a route's requests.
type PoolShare struct {
	Pool  string  `json:"pool"`
	Share float64 `json:"share"`
}

// TargetChoice is a target of a pool and whether a request may go there.
type TargetChoice struct {
	ID     string `json:"id"`
	Pool   string `json:"pool"`
	Usable bool   `json:"usable"`
}

func newPlatformExplain() *cobra.Command {
	var output outputFormat
	var host, path, model string
	cmd := &cobra.Command{
		Use:     "explain SOURCE --host HOST --path PATH [--model MODEL/ADAPTER]",
		Short:   "Explain how one request is routed by a published state",
		Long:    "explain shows route, pools, targets, adapter version, attempts and timeout, and which rule decided.\nThe entry also considers load and what targets say of themselves.\n" + sourceText + "\n\n" + exitText,
		Example: "  agatectl platform explain http://10.200.1.7:8142 --host rota.example --path /query/1 --model m/a7",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := output.check(); err != nil {
				return err
			}
			if host == "" || !strings.HasPrefix(path, "/") {
				return usageError("--host and a --path that begins with a slash are required")
			}
			view, err := loadState(cmd, args[0])
			if err != nil {
				return err
			}
			e, err := explainPublished(view, host, path, model)
			if err != nil {
				return faultsError([]error{err})
			}
			if output == "json" {
				return printJSON(cmd, e)
			}
			e.print(cmd)
			return nil
		},
	}
	cmd.Flags().StringVar(&host, "host", "", "Host header of the request")
	cmd.Flags().StringVar(&path, "path", "", "path of the request")
	cmd.Flags().StringVar(&model, "model", "", "MODEL or MODEL/ADAPTER of the request")
	output.addFlag(cmd)
	return cmd
}

func explainPublished(view *catalog.View, host, path, model string) (*PublishedExplanation, error) {
	route, ok := view.Config.Match(host, path)
	if !ok && view.Config.RoutesIncomplete {
		return nil, result.Newf(result.ItemClosed, "the route of host %q and path %q may be one that cannot be read: %v", host, path, view.Config.Closed.List)
	}
	if !ok {
		return nil, result.Newf(result.UnknownRoute, "no route of host %q has a prefix of path %q", host, path)
	}
	if route.Closed {
		return nil, result.Newf(result.ItemClosed, "route %s cannot be used: %v", route.Name, view.Config.Closed.List)
	}
	e := &PublishedExplanation{Version: view.Config.Version, Route: route.Name, MaxAttempts: route.MaxAttempts, Timeout: route.Timeout.String()}
	e.addReason("%q is the longest prefix of host %q that begins %q", route.Prefix, route.Host, path)
	if route.Repeatable() {
		e.addReason("%s requests of this route may run again, on %s at most", route.Kind, plural(route.MaxAttempts, "target"))
	} else {
		e.addReason("%s requests of this route run at most once; only a target that did not run one is followed by another", route.Kind)
	}
	base, adapter, _ := strings.Cut(model, "/")
	if adapter != "" {
		e.Adapter, e.MinVersion = model, view.Versions[catalog.AdapterKey{Model: base, Adapter: adapter}]
		e.addReason("the adapter's newest announced version is asked for; 0 means that none was announced")
	}
	total := 0.0
	for _, s := range route.Split {
		total += s.Weight
	}
	for _, s := range route.Split {
		e.Pools = append(e.Pools, PoolShare{Pool: s.Pool, Share: s.Weight / max(total, 1e-9)})
		pool, ok := view.Config.Pools[s.Pool]
		switch {
		case !ok:
			e.addReason("pool %s is not configured: its share is refused as no_target", s.Pool)
		case model != "" && pool.Engine == nil:
			e.addReason("pool %s is a plain service and ignores the model", s.Pool)
		case model != "":
			if _, ok := pool.Engine.Model(base); !ok {
				e.addReason("pool %s has no model %q", s.Pool, base)
			}
		}
		for _, t := range view.Pools[s.Pool] {
			e.Targets = append(e.Targets, TargetChoice{ID: t.ID, Pool: s.Pool, Usable: !t.Draining})
			if t.Draining {
				e.addReason("target %s drains and gets no new request", t.ID)
			}
		}
	}
	return e, nil
}

func (e *PublishedExplanation) addReason(format string, args ...any) {
	e.Why = append(e.Why, fmt.Sprintf(format, args...))
}

func (e *PublishedExplanation) print(cmd *cobra.Command) {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(w, name+"\t"+format+"\n", args...)
	}
	row("configuration", "version %d", e.Version)
	row("route", "%s", e.Route)
	for _, p := range e.Pools {
		row("pool", "%s, %s of the requests", p.Pool, percent(p.Share))
	}
	if e.Adapter != "" {
		row("adapter", "%s, version %d", e.Adapter, e.MinVersion)
	}
	row("attempts", "%d", e.MaxAttempts)
	row("timeout", "%s", e.Timeout)
	for _, t := range e.Targets {
		if t.Usable {
			row("target", "%s of pool %s", t.ID, t.Pool)
		}
	}
	for _, reason := range e.Why {
		row("why", "%s", reason)
	}
	_ = w.Flush()
}
