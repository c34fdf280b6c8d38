package procfleet

import "agatelanding.example/agatelanding/internal/tables"

// Publish writes the tables under the next revision.
func (f *Fleet) Publish() error {
	f.Revision++
	return f.PublishAs(f.Revision)
}

// PublishAs writes the tables under a revision, parts first.
func (f *Fleet) PublishAs(revision uint64) error {
	snapshot, faults := tables.Build(revision, &f.Routes, &f.Pools)
	if len(faults) > 0 {
		return faults[0]
	}
	for _, url := range f.configs {
		if err := publishAt(url, snapshot); err != nil {
			return err
		}
	}
	return nil
}

func publishAt(url string, snapshot *tables.Snapshot) error {
	for key, data := range snapshot.Parts() {
		if err := Put(url+"/v1/values/"+key, string(data)); err != nil {
			return err
		}
	}
	return Put(url+"/v1/values/"+tables.ManifestKey, string(snapshot.Manifest()))
}
