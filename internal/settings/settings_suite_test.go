package settings_test

import (
	"bytes"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "agatelanding.example/agatelanding/internal/rapidseed"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

type tls struct {
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
}

func (t *tls) Validate() []settings.Fault {
	if (t.Cert == "") != (t.Key == "") {
		return []settings.Fault{{Field: "key", Reason: "cert and key go together"}}
	}
	return nil
}

type peer struct {
	Name   string `json:"name" range:"1..20"`
	Weight int    `json:"weight" range:"1..10"`
}

func (p *peer) SetDefaults() { p.Weight = 1 }

type sample struct {
	Listen  netip.AddrPort    `json:"listen" doc:"Address for callers"`
	Role    string            `json:"role" range:"entry|target"`
	IdleMS  int               `json:"idle_ms" unit:"ms" range:"10..60000"`
	Share   float64           `json:"share" range:"0..1"`
	MaxBody uint32            `json:"max_body_bytes" unit:"bytes" range:"1.."`
	Debug   bool              `json:"debug,omitempty"`
	Label   string            `json:"label,omitempty" doc:"Free text"`
	TLS     tls               `json:"tls,omitempty"`
	Peers   []peer            `json:"peers" range:"..3"`
	Tags    map[string]string `json:"tags,omitempty"`
}

func (s *sample) SetDefaults() {
	s.Listen = netip.MustParseAddrPort("127.0.0.1:8080")
	s.Role, s.IdleMS, s.Share, s.MaxBody, s.Debug = "entry", 500, 0.5, 1<<20, true
}

func (s *sample) Validate() []settings.Fault {
	if s.Role == "target" && len(s.Peers) > 0 {
		return []settings.Fault{{Field: "peers", Reason: "a target has no peers"}}
	}
	return nil
}

var _ = Describe("Parse", func() {
	// Each entry is a plausible mistake in a settings file.
	DescribeTable("reports line, field and reason", func(text string, want ...string) {
		_, err := settings.Parse[sample]("a.jsonc", []byte(text))
		Expect(result.CodeOf(err)).To(Equal(result.SettingInvalid))
		var listed *settings.Error
		Expect(errors.As(err, &listed)).To(BeTrue())
		Expect(strings.Split(listed.Error(), "\n")).To(Equal(want))
	},
		Entry("unknown field", "{\n\"rol\": 1}", "a.jsonc:2: rol: unknown field"),
		Entry("field in another case", `{"Role": "entry"}`, `a.jsonc:1: Role: unknown field, did you mean "role"?`),
		Entry("another unit in the name", `{"idle_s": 5}`, `a.jsonc:1: idle_s: unknown field, did you mean "idle_ms" in milliseconds?`),
		Entry("unit in the value", `{"idle_ms": "5s"}`, `a.jsonc:1: idle_ms: want a whole number of milliseconds, got the string "5s"`),
		Entry("fraction", `{"idle_ms": 50.5}`, "a.jsonc:1: idle_ms: want a whole number of milliseconds, got 50.5"),
		Entry("negative size", `{"max_body_bytes": -1}`, "a.jsonc:1: max_body_bytes: want a non-negative whole number of bytes, got -1"),
		Entry("overflow", `{"max_body_bytes": 5000000000}`, "a.jsonc:1: max_body_bytes: want a non-negative whole number of bytes, got 5000000000"),
		Entry("null", `{"role": null}`, "a.jsonc:1: role: want a string, got null"),
		Entry("out of range", `{"idle_ms": 5, "share": 2}`, "a.jsonc:1: idle_ms: 5 is not in 10..60000", "a.jsonc:1: share: 2 is not in 0..1"),
		Entry("string that is not allowed", `{"role": "boss"}`, `a.jsonc:1: role: "boss" is not one of entry, target`),
		Entry("duplicate field", "{\"debug\": true,\n\"debug\": false}", "a.jsonc:2: debug: occurs twice in the same object"),
		Entry("bad address", `{"listen": "localhost:80"}`, `a.jsonc:1: listen: ParseAddr("localhost"): unable to parse IP`),
		Entry("nested element", "{\"peers\": [{\"name\": \"a\"},\n{\"name\": \"\", \"weight\": \"x\"}]}",
			`a.jsonc:2: peers[1].weight: want a whole number, got the string "x"`, "a.jsonc:2: peers[1].name: is missing or empty, allowed 1..20 bytes"),
		Entry("nested combination", "{\n\"tls\": {\n\"cert\": \"c\"}}", "a.jsonc:2: tls.key: cert and key go together"),
		Entry("impossible combination", "{\"role\": \"target\",\n\"peers\": [{\"name\": \"a\"}]}", "a.jsonc:2: peers: a target has no peers"),
		Entry("syntax", "{\n\"role\" \"entry\"}", "a.jsonc:2: not valid JSON: column 8: invalid character '\"' after object name"),
		Entry("empty file", "", "a.jsonc:1: not valid JSON: column 1: parsing value: unexpected EOF"),
		Entry("array for object", `[]`, "a.jsonc:1: want an object, got an array"),
		Entry("deep nesting", strings.Repeat("[", 1<<20), "a.jsonc:1: nested deeper than 64 levels"),
	)

	It("keeps defaults of absent fields, also in array elements", func() {
		got, err := settings.Parse[sample]("a", []byte("/* c */ {\"peers\": [{\"name\": \"a\"},], \"debug\": false, // x\n}"))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.IdleMS).To(Equal(500))
		Expect(got.Debug).To(BeFalse())
		Expect(got.Peers).To(Equal([]peer{{Name: "a", Weight: 1}}))
	})

	// A settings type that breaks the unit rule is a bug of the program.
	It("refuses settings types with durations or wrong unit names", func() {
		_, err := settings.Parse[struct{ T time.Duration }]("a", []byte("{}"))
		Expect(err).To(MatchError(ContainSubstring("integers whose name ends in _ms")))
		_, err = settings.Parse[struct {
			T int `json:"t" unit:"ms"`
		}]("a", []byte("{}"))
		Expect(err).To(MatchError(ContainSubstring("needs a name that ends in _ms")))
	})
})

var _ = Describe("Load", func() {
	DescribeTable("refuses files that it cannot read", func(prepare func(dir string) string, want string) {
		_, err := settings.Load[sample](prepare(GinkgoT().TempDir()))
		Expect(result.CodeOf(err)).To(Equal(result.SettingInvalid))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("absent", func(dir string) string { return filepath.Join(dir, "no.jsonc") }, "no such file"),
		Entry("directory", func(dir string) string { return dir }, "not a regular file"),
		Entry("too large", func(dir string) string {
			path := filepath.Join(dir, "big.jsonc")
			Expect(os.WriteFile(path, make([]byte, settings.MaxFileBytes+1), 0o600)).To(Succeed())
			return path
		}, "1048577 bytes, limit 1048576"),
	)
})

var _ = Describe("WriteDefaults", func() {
	write := func(v *sample) string {
		var out bytes.Buffer
		Expect(settings.WriteDefaults(&out, v)).To(Succeed())
		return out.String()
	}

	It("documents every field and shows optional ones as comments", func() {
		text := write(&sample{})
		Expect(text).To(ContainSubstring("  // Unit: ms. Allowed: 10..60000.\n  \"idle_ms\": 500,\n"))
		Expect(text).To(ContainSubstring("  // Free text. Optional.\n  // \"label\": \"\",\n"))
	})

	// A value that loads differently from how it was written would change the
	// configuration of a deployment.
	It("writes settings that load again unchanged", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			in := &sample{}
			in.SetDefaults()
			in.IdleMS = rapid.IntRange(10, 60000).Draw(t, "idle")
			in.Debug = rapid.Bool().Draw(t, "debug")
			in.Label = rapid.String().Draw(t, "label")
			in.Share = rapid.Float64Range(0, 1).Draw(t, "share")
			for range rapid.IntRange(0, 3).Draw(t, "peers") {
				in.Peers = append(in.Peers, peer{Name: "x", Weight: rapid.IntRange(1, 10).Draw(t, "weight")})
			}
			if rapid.Bool().Draw(t, "tags") {
				in.Tags = map[string]string{rapid.String().Draw(t, "key"): rapid.String().Draw(t, "value")}
			}
			got, err := settings.Parse[sample]("written", []byte(write(in)))
			if err != nil {
				t.Fatalf("%v", err)
			}
			if want := write(in); write(got) != want {
				t.Fatalf("got %s, want %s", write(got), want)
			}
			if got.Label != in.Label || got.Debug != in.Debug || len(got.Tags) != len(in.Tags) {
				t.Fatalf("got %+v, want %+v", got, in)
			}
		})
	})
})
