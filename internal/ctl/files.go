package ctl

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/settings"
	"agatelanding.example/agatelanding/internal/tables"
)

// Names of the table files in a directory.
const (
	RoutesFile = "routes.jsonc"
	PoolsFile  = "pools.jsonc"
)

const dirText = `DIR holds either the two table files ` + RoutesFile + ` and ` + PoolsFile + `, or a snapshot
that agatectl build wrote.`

// loadTables reads a directory with table files or with a built snapshot.
// Table files get revision 1, because their revision is given at publishing.
func loadTables(dir string) (*tables.Snapshot, error) {
	manifest, err := os.ReadFile(filepath.Join(dir, tables.ManifestKey))
	if err == nil {
		return loadSnapshot(dir, manifest)
	}
	source, found := tables.ReadSource(filepath.Join(dir, RoutesFile), filepath.Join(dir, PoolsFile))
	if len(found) > 0 {
		return nil, faults(found)
	}
	snap, found := source.Build(1)
	return snap, faults(found)
}

func loadSnapshot(dir string, manifest []byte) (*tables.Snapshot, error) {
	m, err := tables.ParseManifest(manifest)
	if err != nil {
		return nil, faults([]error{err})
	}
	parts := make(map[string][]byte)
	for _, ref := range m.Refs() {
		data, err := settings.ReadFile(filepath.Join(dir, ref.Key), tables.MaxPartBytes)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, unreadable(err)
		}
		parts[ref.Key] = data
	}
	snap, found := tables.Assemble(manifest, parts)
	return snap, faults(found)
}

// writeFile replaces a file whole, so that a reader never sees half of it.
func writeFile(path string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return unreadable(err)
	}
	temporary := path + ".new"
	err := os.WriteFile(temporary, data, 0o644)
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		return unreadable(result.Wrap(result.Internal, err))
	}
	return nil
}

func plural(n int, what string) string {
	if n == 1 {
		return fmt.Sprintf("%d %s", n, what)
	}
	return fmt.Sprintf("%d %ss", n, what)
}
