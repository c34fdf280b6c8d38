package ctl

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
)

func newBuild() *cobra.Command {
	var revision uint64
	cmd := &cobra.Command{
		Use:   "build DIR OUT-DIR --revision N",
		Short: "Write the manifest and parts of a snapshot for publishing",
		Long: "build writes one file for each value of the configuration service; its path below OUT-DIR\n" +
			"is the key. Publish the parts first and " + tables.ManifestKey + " last. Files of earlier builds stay,\n" +
			"so that OUT-DIR can be published as a whole. The revision must be higher than that of the\n" +
			"manifest in OUT-DIR.\n\n" + exitText,
		Example: "  agatectl build tables/ publish/ --revision 42",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if revision == 0 {
				return usageError("--revision is missing; revisions start at 1")
			}
			return build(cmd, args[0], args[1], revision)
		},
	}
	cmd.Flags().Uint64Var(&revision, "revision", 0, "revision of the snapshot, higher than any before")
	return cmd
}

// build writes the new parts of a snapshot of the tables in dir, then the manifest.
func build(cmd *cobra.Command, dir, out string, revision uint64) error {
	source, faults := tables.ReadSource(filepath.Join(dir, RoutesFile), filepath.Join(dir, PoolsFile))
	if len(faults) > 0 {
		return faultsError(faults)
	}
	snap, faults := source.Build(revision)
	if len(faults) > 0 {
		return faultsError(faults)
	}
	manifest := filepath.Join(out, tables.ManifestKey)
	if err := checkRevision(manifest, snap); err != nil {
		return err
	}
	written, size := 0, 0
	for key, data := range snap.Parts() {
		path := filepath.Join(out, key)
		if old, err := os.ReadFile(path); err == nil && bytes.Equal(old, data) {
			continue
		}
		if err := writeFile(path, data); err != nil {
			return err
		}
		written, size = written+1, size+len(data)
	}
	if err := writeFile(manifest, snap.Manifest()); err != nil {
		return err
	}
	printf(cmd, "revision %d: %s; wrote %d new parts, %d bytes, and %s\n", revision, summarize(snap), written, size, manifest)
	return nil
}

// checkRevision returns an error if the manifest at path has a higher revision than
// the snapshot, or the same revision and other content. Running processes would
// refuse the snapshot in both cases.
func checkRevision(path string, snap *tables.Snapshot) error {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return unreadableError(err)
	}
	old, err := tables.ParseManifest(data)
	if err != nil {
		return faultsError([]error{err})
	}
	if old.Revision > snap.Revision {
		return faultsError([]error{result.Newf(result.RevisionTooLow, "%s has revision %d", path, old.Revision)})
	}
	if old.Revision == snap.Revision && !bytes.Equal(data, snap.Manifest()) {
		return faultsError([]error{result.Newf(result.RevisionConflict, "%s has revision %d with other content", path, old.Revision)})
	}
	return nil
}
