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
	// maxStatus is the largest status page in bytes.
	maxStatus = 4 << 20
	// maxParallel bounds the processes asked at the same time.
	maxParallel = 32
	// maxColumns keeps a row of the table readable.
	maxColumns = 16
)

// leading are the fields of a status page that come first in the table.
var leading = []string{
	"role", "process", "name", "state", "ready", "revision", "failure_domain", "version",
	"sessions", "in_flight", "running", "waiting", "slots", "resident", "records", "refused",
}

// client talks to each process directly: a proxy or a redirect would answer
// for another one.
var client = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// status is the page of one process.
type status struct {
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
			"counters of the page and the length of lists; --json prints everything.\n\n" + exitText,
		Example: "  agatectl status 127.0.0.1:8081 127.0.0.1:9101",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, addr := range args {
				if _, _, err := net.SplitHostPort(addr); err != nil {
					return usage("%q is not host:port", addr)
				}
			}
			pages := askAll(cmd.Context(), args, timeout)
			if asJSON {
				if err := printJSON(cmd, pages); err != nil {
					return err
				}
			} else {
				printStatus(cmd, pages)
			}
			return statusFailure(pages)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the whole pages as JSON")
	cmd.Flags().DurationVar(&timeout, "timeout", 2*time.Second, "time limit for each process")
	return cmd
}

func askAll(ctx context.Context, addresses []string, timeout time.Duration) []status {
	if ctx == nil {
		ctx = context.Background()
	}
	pages := make([]status, len(addresses))
	slots := make(chan struct{}, maxParallel)
	var group sync.WaitGroup
	for i, addr := range addresses {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			pages[i] = ask(ctx, addr, timeout)
		})
	}
	group.Wait()
	return pages
}

func ask(ctx context.Context, addr string, timeout time.Duration) status {
	page := status{Address: addr}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if page.err = page.fetch(ctx); page.err != nil {
		page.err = result.Newf(result.PlatformUnreached, "%s: %v", addr, page.err)
		page.Error = describe(page.err)
	}
	return page
}

func (s *status) fetch(ctx context.Context) error {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatus+1))
	if err != nil {
		return err
	}
	if len(data) > maxStatus {
		return fmt.Errorf("status page is larger than %d bytes", maxStatus)
	}
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.UseNumber()
	if err := dec.Decode(&s.Status); err != nil {
		return fmt.Errorf("status page is not a JSON object: %w", err)
	}
	return nil
}

func statusFailure(pages []status) error {
	f := &failure{exit: ExitUnreadable}
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

func printStatus(cmd *cobra.Command, pages []status) {
	columns := columnsOf(pages)
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "ADDRESS\t%s\n", strings.ToUpper(strings.Join(columns, "\t")))
	for _, page := range pages {
		cells := []string{page.Address}
		for _, column := range columns {
			cell := noCell
			if value, ok := page.Status[column]; ok {
				cell = cellOf(value)
			}
			cells = append(cells, cell)
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	_ = w.Flush()
}

// columnsOf returns the simple fields of all pages, well-known ones first.
func columnsOf(pages []status) []string {
	present := make(map[string]bool)
	for _, page := range pages {
		for name, value := range page.Status {
			present[name] = present[name] || cellOf(value) != noCell
		}
	}
	maps.DeleteFunc(present, func(_ string, shown bool) bool { return !shown })
	var columns []string
	for _, name := range append(slices.Clone(leading), slices.Sorted(maps.Keys(present))...) {
		if present[name] && !slices.Contains(columns, name) {
			columns = append(columns, name)
		}
	}
	return columns[:min(len(columns), maxColumns)]
}

// noCell stands for a value that the table does not show.
const noCell = "-"

// cellOf shows a simple value as it is, a list by its length and counters by
// name.
func cellOf(v any) string {
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
	return noCell
}
