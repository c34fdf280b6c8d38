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

// loadTables reads a directory with table files or with a built snapshot. Table files
// get revision 1, because operators choose the revision when they build the snapshot.
func loadTables(dir string) (*tables.Snapshot, error) {
	manifest, err := os.ReadFile(filepath.Join(dir, tables.ManifestKey))
	if err == nil {
		return loadSnapshot(dir, manifest)
	}
	source, faults := tables.ReadSource(filepath.Join(dir, RoutesFile), filepath.Join(dir, PoolsFile))
	if len(faults) > 0 {
		return nil, faultsError(faults)
	}
	snap, faults := source.Build(1)
	return snap, faultsError(faults)
}

// loadSnapshot reads the parts that a manifest lists. Assemble reports absent parts.
func loadSnapshot(dir string, manifest []byte) (*tables.Snapshot, error) {
	m, err := tables.ParseManifest(manifest)
	if err != nil {
		return nil, faultsError([]error{err})
	}
	parts := make(map[string][]byte)
	for _, ref := range m.Refs() {
		data, err := settings.ReadFile(filepath.Join(dir, ref.Key), tables.MaxPartBytes)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, unreadableError(err)
		}
		parts[ref.Key] = data
	}
	snap, faults := tables.Assemble(manifest, parts)
	return snap, faultsError(faults)
}

// writeFile writes a file by renaming a complete temporary file, so that no reader
// finds a partly written one.
func writeFile(path string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return unreadableError(err)
	}
	temporaryPath := path + ".new"
	err := os.WriteFile(temporaryPath, data, 0o644)
	if err == nil {
		err = os.Rename(temporaryPath, path)
	}
	if err != nil {
		return unreadableError(result.Wrap(result.Internal, err))
	}
	return nil
}

// plural returns the number and the noun, with an s unless n is 1.
func plural(n int, noun string) string {
	if n == 1 {
		return fmt.Sprintf("%d %s", n, noun)
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
