package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/result"
)

const (
	// maxStatusBytes is the largest size of a status page.
	maxStatusBytes = 4 << 20
	// maxParallelRequests bounds the status requests in flight.
	maxParallelRequests = 128
	// maxColumns bounds the columns, so that a row of the table stays readable.
	maxColumns = 20
)

// leadingColumns lists the fields of a status page that come first in the table.
var leadingColumns = []string{
	"role", "process", "name", "state", "ready", "revision", "failure_domain", "version",
	"era", "store_revision", "configuration_version", "configuration_stored_version", "configuration_lag_ms", "configuration_items_closed", "targets_ready", "targets_draining", "state_age_ms", "retried",
	"sessions", "in_flight", "running", "waiting", "slots", "resident", "records", "refused", quarantinedField, quarantinedRequestsField, "crash_records", rateLimitsField, quotasField, serviceSharesField,
}

// client uses no proxy and follows no redirect: either could return the status page
// of another process.
var client = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// statusPage is the status page of one process, or the error of the request for it.
type statusPage struct {
	Address string         `json:"address"`
	Error   string         `json:"error,omitempty"`
	Status  map[string]any `json:"status,omitempty"`
	err     error
}

func newStatus() *cobra.Command {
	var asJSON bool
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "status ADDR...",
		Short: "Show the state of running processes",
		Long: "status reads http://ADDR/status of each process. The table has the simple fields and\n" +
			"counters of the page and the length of lists; --json prints everything. Further tables have\n" +
			"the parts of prompts that entries keep from engines, the targets that name the requests\n" +
			"a second which they take, the quotas of the busiest workspaces with their use at the given\n" +
			"entries, and the shares of each entry of plain services.\n\n" + exitText,
		Example: "  agatectl status 127.0.0.1:8081 127.0.0.1:9101",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, addr := range args {
				if _, _, err := net.SplitHostPort(addr); err != nil {
					return usageError("%q is not host:port", addr)
				}
			}
			pages := fetchAll(cmd.Context(), args, timeout)
			if asJSON {
				if err := printJSON(cmd, pages); err != nil {
					return err
				}
			} else {
				printStatus(cmd, pages)
				printQuarantine(cmd, pages)
				printRateLimits(cmd, pages)
				printQuotas(cmd, pages)
				printServiceShares(cmd, pages)
			}
			return statusError(pages)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the whole pages as JSON")
	cmd.Flags().DurationVar(&timeout, "timeout", 1500*time.Millisecond, "time limit for each process")
	return cmd
}

// fetchAll requests the status pages of all processes concurrently. timeout applies
// to each request.
func fetchAll(ctx context.Context, addresses []string, timeout time.Duration) []statusPage {
	if ctx == nil {
		ctx = context.Background()
	}
	pages := make([]statusPage, len(addresses))
	semaphore := make(chan struct{}, maxParallelRequests)
	var group sync.WaitGroup
	for i, addr := range addresses {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			pages[i] = fetchPage(ctx, addr, timeout)
		})
	}
	group.Wait()
	return pages
}

// fetchPage reads the status page of one process. An error has the code
// PlatformUnreached, also if it is the process that could not be reached.
func fetchPage(ctx context.Context, addr string, timeout time.Duration) statusPage {
	page := statusPage{Address: addr}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if page.err = page.fetch(ctx); page.err != nil {
		page.err = result.Newf(result.PlatformUnreached, "%s: %v", addr, page.err)
		page.Error = formatError(page.err)
	}
	return page
}

// fetch requests the page and decodes it into Status.
func (s *statusPage) fetch(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+"/status", nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %s", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxStatusBytes {
		return fmt.Errorf("status page is larger than %d bytes", maxStatusBytes)
	}
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.UseNumber()
	if err := dec.Decode(&s.Status); err != nil {
		return fmt.Errorf("status page is not a JSON object: %w", err)
	}
	return nil
}

// statusError returns a failure with the errors of the pages, or nil.
func statusError(pages []statusPage) error {
	f := &failure{exit: ExitIO}
	for _, page := range pages {
		if page.err != nil {
			f.errors = append(f.errors, page.err)
		}
	}
	if len(f.errors) == 0 {
		return nil
	}
	return f
}

func printStatus(cmd *cobra.Command, pages []statusPage) {
	columns := selectColumns(pages)
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "ADDRESS\t%s\n", strings.ToUpper(strings.Join(columns, "\t")))
	for _, page := range pages {
		cells := []string{page.Address}
		for _, column := range columns {
			cell := emptyCell
			if value, ok := page.Status[column]; ok {
				cell = formatCell(value)
			}
			cells = append(cells, cell)
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	_ = w.Flush()
}

// selectColumns returns the names of the fields that the table can show on at least
// one page: those of leadingColumns, then the others by name.
func selectColumns(pages []statusPage) []string {
	present := make(map[string]bool)
	for _, page := range pages {
		for name, value := range page.Status {
			present[name] = present[name] || formatCell(value) != emptyCell
		}
	}
	maps.DeleteFunc(present, func(_ string, shown bool) bool { return !shown })
	var columns []string
	for _, name := range append(slices.Clone(leadingColumns), slices.Sorted(maps.Keys(present))...) {
		if present[name] && !slices.Contains(columns, name) {
			columns = append(columns, name)
		}
	}
	return columns[:min(len(columns), maxColumns)]
}

// emptyCell is shown for an absent value and for one that the table cannot show.
const emptyCell = "-"

// formatCell formats a string, number or boolean as it is, a list as its length and
// an object as the numbers in it with their names.
func formatCell(v any) string {
	switch x := v.(type) {
	case string, bool, json.Number:
		return fmt.Sprint(x)
	case []any:
		return fmt.Sprint(len(x))
	case map[string]any:
		var counters []string
		for _, name := range slices.Sorted(maps.Keys(x)) {
			if n, ok := x[name].(json.Number); ok {
				counters = append(counters, name+"="+n.String())
			}
		}
		if len(counters) > 0 {
			return strings.Join(counters, ",")
		}
	}
	return emptyCell
}
