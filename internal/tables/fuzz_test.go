package tables_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"agatelanding.example/agatelanding/internal/tables"
)

// FuzzManifest checks that no manifest makes ParseManifest panic or passes it with
// sizes or keys outside the limits. Manifests arrive over the network.
func FuzzManifest(f *testing.F) {
	for _, seed := range []string{"", "{}", "[[[", `{"revision":1,"routes":[],"pools":[]}`, `{"revision":-1}`, `{"revision":18446744073709551615}`,
		`{"revision":1,"routes":[{"key":"agate/part/00000000000000000000000000000000","size":9}],"pools":null}`, `{"revision":1,"routes":[{"key":"x","size":-1}]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := tables.ParseManifest(data)
		if err != nil || len(m.Pools) == 0 {
			return
		}
		again, err := tables.ParseManifest([]byte(mustJSON(m)))
		if err != nil || mustJSON(again) != mustJSON(m) {
			t.Fatalf("%s parses again to %v, %v", data, again, err)
		}
		for _, ref := range m.Refs() {
			if ref.Size <= 0 || ref.Size > tables.MaxPartBytes || len(ref.Key) != len("agate/part/")+32 {
				t.Fatalf("accepted %+v", ref)
			}
		}
	})
}

// FuzzParts checks that no parts make Assemble panic or yield a snapshot that
// another process would decode differently. Parts arrive over the network.
func FuzzParts(f *testing.F) {
	small, faults := fleet(2, 2).Build(1)
	if len(faults) > 0 {
		f.Fatal(faults)
	}
	var seeds [][]byte
	for _, data := range small.Parts() {
		seeds = append(seeds, data)
	}
	for _, a := range append(seeds, nil, []byte("[[[["), []byte(`{"routes":[{}]}`)) {
		for _, b := range seeds {
			f.Add(a, b)
		}
	}
	f.Fuzz(func(t *testing.T, routes, pools []byte) {
		refOf := func(data []byte) ([]tables.PartRef, string) {
			sum := sha256.Sum256(data)
			key := "agate/part/" + hex.EncodeToString(sum[:16])
			return []tables.PartRef{{Key: key, Size: len(data)}}, key
		}
		r, rk := refOf(routes)
		p, pk := refOf(pools)
		manifest := []byte(mustJSON(tables.Manifest{Revision: 1, Routes: r, Pools: p}))
		snap, faults := tables.Assemble(manifest, map[string][]byte{rk: routes, pk: pools})
		if (snap == nil) == (len(faults) == 0) {
			t.Fatalf("snapshot %v with faults %v", snap, faults)
		}
		if snap == nil {
			return
		}
		ar, ap := snap.Tables()
		again, faults := tables.Build(1, ar, ap)
		if len(faults) > 0 {
			t.Fatalf("accepted tables that do not build: %v", faults)
		}
		br, bp := again.Tables()
		if mustJSON(ar) != mustJSON(br) || mustJSON(ap) != mustJSON(bp) {
			t.Fatal("the tables differ when they are built again")
		}
	})
}
