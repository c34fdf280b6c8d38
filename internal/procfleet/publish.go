package procfleet

import "agatelanding.example/agatelanding/internal/tables"

// Publish writes the tables to the configuration services under the next
// revision.
func (f *Fleet) Publish() error {
	f.Revision++
	return f.PublishAs(f.Revision)
}

// PublishAs writes the tables under the given revision: the parts first, then the
// manifest that lists them.
func (f *Fleet) PublishAs(revision uint64) error {
	snapshot, errs := tables.Build(revision, &f.Routes, &f.Pools)
	if len(errs) > 0 {
		return errs[0]
	}
	for _, url := range f.configURLs {
		if err := publishAt(url, snapshot); err != nil {
			return err
		}
	}
	return nil
}

// publishAt writes a snapshot to the configuration service at url.
func publishAt(url string, snapshot *tables.Snapshot) error {
	for key, data := range snapshot.Parts() {
		if err := Put(url+"/v1/values/"+key, string(data)); err != nil {
			return err
		}
	}
	return Put(url+"/v1/values/"+tables.ManifestKey, string(snapshot.Manifest()))
}
