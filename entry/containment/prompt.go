package containment

import (
	"math"
	"slices"

	"agatelanding.example/agatelanding/internal/decide/quarantine"
	"agatelanding.example/agatelanding/internal/relay"
)

// suspectParts returns the shared parts of a request and what identifies it among the
// suspects of crashes. The last part of the prompt does not: it may be that of a session,
// whose turns are requests of their own.
func suspectParts(r relay.Identity) []quarantine.Part {
	list := partsOf(r)
	if len(list) > 1 {
		list[len(list)-1] = quarantine.NewRequestID(string(list[len(list)-1]), r.Content())
	}
	return list
}

// partsOf returns the parts of the prompt of a request. The last one is the request's own.
func partsOf(r relay.Identity) []quarantine.Part { return firstPartsOf(r, math.MaxInt) }

// leadingPartsOf returns the leading parts of the prompt of a request and one more, which stands
// for the last one.
func leadingPartsOf(r relay.Identity) []quarantine.Part {
	return firstPartsOf(r, quarantine.LeadingParts+1)
}

func firstPartsOf(r relay.Identity, most int) (list []quarantine.Part) {
	parts := r.AllParts
	if parts == nil {
		list, parts = make([]quarantine.Part, 0, len(r.PromptParts)), slices.Values(r.PromptParts)
	}
	for p := range parts {
		switch {
		case p == "":
			continue
		case len(p) > quarantine.MaxPartBytes:
			list = append(list, quarantine.HashedPart(p))
		default:
			list = append(list, quarantine.Part(p))
		}
		if len(list) == most {
			break
		}
	}
	return list
}
