package tables

import (
	"errors"
	"os"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/strictjson"
)

// Source holds the two tables as decoded from the operators' files.
type Source struct {
	Routes RouteTable
	Pools  PoolTable
}

// ReadSource reads and validates the two table files. It returns the tables, or
// the faults: each has a result code and, where known, file, line and field.
func ReadSource(routeFile, poolFile string) (*Source, []error) {
	routes, routesErr := readFile(routeFile)
	pools, poolsErr := readFile(poolFile)
	var faults []error
	for _, err := range []error{routesErr, poolsErr} {
		if err != nil {
			faults = append(faults, err)
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return ParseSource(routeFile, routes, poolFile, pools)
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, result.Wrap(result.MalformedTable, err)
	}
	if !info.Mode().IsRegular() {
		return nil, result.Wrap(result.MalformedTable, &os.PathError{Op: "read", Path: path, Err: errors.New("not a regular file")})
	}
	if info.Size() > MaxTablesBytes {
		return nil, result.Newf(result.ValueTooLarge, "%s: %d bytes, limit %d", path, info.Size(), MaxTablesBytes)
	}
	data, err := os.ReadFile(path)
	return data, result.Wrap(result.MalformedTable, err)
}

// ParseSource is ReadSource for files whose content is in memory. The file names
// are used in errors only.
func ParseSource(routeFile string, routeData []byte, poolFile string, poolData []byte) (*Source, []error) {
	s := &Source{}
	routeDoc, routeFaults := decode(routeFile, routeData, &s.Routes)
	poolDoc, poolFaults := decode(poolFile, poolData, &s.Pools)
	faults := append(routeFaults, poolFaults...)
	if routeDoc == nil || poolDoc == nil {
		return nil, faults
	}
	// A file without routes is more often a mistake than intended.
	if len(routeFaults) == 0 && len(s.Routes.Routes) == 0 {
		faults = append(faults, result.Wrap(result.MalformedTable, &FieldError{File: routeFile, Line: 1, Field: "routes", Reason: "the table has no routes"}))
	}
	seen := make(map[string]bool)
	for _, err := range faults {
		var f *FieldError
		if errors.As(err, &f) {
			seen[f.Field] = true
		}
	}
	for _, err := range Validate(&s.Routes, &s.Pools) {
		var f *FieldError
		if !errors.As(err, &f) {
			faults = append(faults, err)
			continue
		}
		// A field that did not decode is empty and would be reported twice.
		if seen[f.Field] {
			continue
		}
		f.File, f.Line = position(f, routeFile, routeDoc, poolFile, poolDoc)
		faults = append(faults, result.Wrap(result.CodeOf(err), f))
	}
	if len(faults) > 0 {
		sortByPosition(faults)
		return nil, faults
	}
	return s, nil
}

// position returns the file and line of a field.
func position(f *FieldError, routeFile string, routes *strictjson.Document, poolFile string, pools *strictjson.Document) (string, int) {
	if f.inRouteTable() {
		return routeFile, routes.Line(f.Field)
	}
	return poolFile, pools.Line(f.Field)
}

// Build returns a snapshot of the tables with the given revision.
func (s *Source) Build(revision uint64) (*Snapshot, []error) {
	return Build(revision, &s.Routes, &s.Pools)
}
