package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
)

// RunCommand returns the command that sends load to running entries.
func RunCommand() *cobra.Command {
	var o Options
	var routes string
	var asJSON bool
	w := &o.Workload
	cmd := &cobra.Command{
		Use: "run", Short: "Send open-loop load to entries and verify every answer", Args: cobra.NoArgs,
		Long: "Sends Poisson arrivals to the entries and verifies every answer against the\n" +
			"stand-in engine's text and the plain services' execution counts. Exits with 1\n" +
			"if no answer was right, one was wrong or broken, or a key's executions contradict its results.",
		Example: "  agate-load run --entry http://127.0.0.1:8080 --routes routes.json --rate 20 --duration 10s",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := o.readRoutes(routes); err != nil {
				return err
			}
			report, err := Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				_ = json.NewEncoder(cmd.OutOrStdout()).Encode(report)
			} else {
				report.Print(cmd.OutOrStdout())
			}
			if !report.OK() {
				return result.New(result.Internal, "no answer was right, some were wrong or broken, or some idempotency keys were executed twice, lost or denied; the report shows which")
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&o.Entries, "entry", nil, "base URL of an entry; repeatable")
	f.StringSliceVar(&o.Services, "service", nil, "base URL of a plain service whose executions are counted; repeatable")
	f.StringVar(&routes, "routes", "", "file with the route table, which gives the adapter and version of each model")
	f.DurationVar(&o.RequestTimeout, "timeout", time.Minute, "time limit of one request")
	f.Int64Var(&w.Seed, "seed", 1, "seed of the arrivals")
	f.Float64Var(&w.Rate, "rate", 20, "mean requests per second")
	f.DurationVar(&w.Duration, "duration", 10*time.Second, "time during which requests are sent")
	f.DurationVar(&w.StepAt, "step-at", 0, "start of a step in the rate")
	f.DurationVar(&w.StepFor, "step-for", 0, "length of the step")
	f.Float64Var(&w.StepFactor, "step-factor", 0, "factor on the rate during the step; 0 means no step")
	f.Float64Var(&w.Zipf, "zipf", 1.0, "Zipf exponent of the models' popularity")
	f.Float64Var(&w.LongShare, "long-share", 0.05, "share of completions that are long")
	f.IntVar(&w.Tokens, "tokens", 16, "tokens of a short answer")
	f.IntVar(&w.LongTokens, "long-tokens", 256, "tokens of a long answer")
	f.Float64Var(&w.StreamShare, "stream-share", 0.5, "share of completions that are streamed")
	f.Float64Var(&w.CallShare, "call-share", 0, "share of requests that are calls with an idempotency key")
	f.Float64Var(&w.RepeatShare, "repeat-share", 0.3, "share of calls with an idempotency key that are sent more than once")
	f.StringVar(&w.CallPath, "call-path", "/ledger/release", "path of calls with an idempotency key")
	f.BoolVar(&asJSON, "json", false, "print the report as JSON")
	return cmd
}

// readRoutes sets the models and the expected answers from a route table file.
func (o *Options) readRoutes(path string) error {
	if len(o.Entries) == 0 || path == "" {
		return result.New(result.UsageError, "--entry and --routes are required")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return result.Wrap(result.UsageError, err)
	}
	var table tables.RouteTable
	if err := tables.DecodeStrict(data, &table); err != nil {
		return err
	}
	o.addRoutes(table.Routes)
	if len(o.Workload.Models) == 0 {
		return result.Newf(result.UsageError, "%s has no routes with an adapter", path)
	}
	return nil
}

// addRoutes uses the first route of an adapter for short requests and the last
// one, if there are more, for long requests.
func (o *Options) addRoutes(routes []tables.Route) {
	o.ExpectedAdapters = make(map[string]string)
	o.Workload.LongModels = make(map[string]string)
	first := make(map[string]string)
	for _, r := range routes {
		if r.Model == "" || r.Adapter == "" {
			continue
		}
		o.ExpectedAdapters[r.Model] = r.Adapter + "@" + r.Version
		if model, ok := first[r.Adapter]; ok {
			o.Workload.LongModels[model] = r.Model
			continue
		}
		first[r.Adapter] = r.Model
		o.Workload.Models = append(o.Workload.Models, r.Model)
	}
}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "sent\t%d\n", r.Sent)
	fmt.Fprintf(w, "right\t%d\n", r.Right)
	codes := make([]string, 0, len(r.Refused))
	for code := range r.Refused {
		codes = append(codes, code)
	}
	slices.Sort(codes)
	for _, code := range codes {
		fmt.Fprintf(w, "refused %s\t%d\n", code, r.Refused[code])
	}
	fmt.Fprintf(w, "broken\t%d\n", r.Broken)
	fmt.Fprintf(w, "wrong\t%d\n", r.Wrong)
	fmt.Fprintf(w, "keys executed twice\t%d\n", r.KeysExecutedTwice)
	fmt.Fprintf(w, "keys lost\t%d\n", r.KeysNotExecuted)
	fmt.Fprintf(w, "keys executed but denied\t%d\n", r.KeysWronglyDenied)
	fmt.Fprintf(w, "first token ms\t%s\n", quantiles(r.firstToken))
	fmt.Fprintf(w, "whole answer ms\t%s\n", quantiles(r.total))
	_ = w.Flush()
	if len(r.Details) > 0 {
		fmt.Fprintln(out, strings.Join(r.Details, "\n"))
	}
}

func quantiles(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("p50 %d  p95 %d  p99 %d  max %d", h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99), h.Max())
}
