package edge

import (
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/quota"
	"agatelanding.example/agatelanding/platform"
)

// quotaOf returns the quota with an ID in the configuration in force, the zero value if there is
// none.
func (e *Edge) quotaOf(id string) catalog.Quota {
	if v := e.view.Load(); v != nil && v.Config != nil {
		if w, ok := v.Config.WorkspaceOfQuota(id); ok {
			return w.Quota
		}
	}
	return catalog.Quota{}
}

func quotaBounds(b platform.Bounds) quota.Bounds {
	return quota.Bounds{Window: b.QuotaWindow, Overage: b.QuotaOverage, Slack: b.QuotaSlack}
}
