package daemon_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/daemon"
	"agatelanding.example/agatelanding/internal/fixture"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/target"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
}

func run(args ...string) (string, error) {
	cmd := daemon.Command("agate-target", "test", func(s *target.Settings) string { return s.LogLevel },
		func(s target.Settings) daemon.Process { return target.New(s) })
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.ExecuteContext(context.Background())
	return out.String(), err
}

func writeSettings(content string) string {
	path := filepath.Join(GinkgoT().TempDir(), "settings.json")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

var _ = Describe("A daemon", func() {
	// Each of these must end the process before it serves, with one line that
	// names the setting to correct.
	DescribeTable("refuses to start with invalid settings", func(content string, code result.Code, text string) {
		_, err := run("--settings", writeSettings(content))
		Expect(err).To(HaveOccurred())
		Expect(result.CodeOf(err)).To(Equal(code))
		Expect(err.Error()).To(ContainSubstring(text))
	},
		Entry("value of the wrong type", "{\n\"drain_limit_ms\": \"soon\"}", result.SettingInvalid, "settings.json:2: drain_limit_ms"),
		Entry("unknown field", `{"nmae": "x"}`, result.SettingInvalid, "nmae"),
		Entry("invalid JSON", `{`, result.SettingInvalid, "settings.json:1"),
		Entry("the same address twice", `{"listen":"127.0.0.1:1","admin_listen":"127.0.0.1:1"}`, result.SettingInvalid, "admin_listen"),
		Entry("certificate file without the other TLS files", `{"tls":{"cert_file":"a"}}`, result.SettingInvalid, "go together"),
	)

	It("refuses to start without settings, with unknown flags and with a missing file", func() {
		_, err := run()
		Expect(result.CodeOf(err)).To(Equal(result.UsageError))
		_, err = run("--setings", "x")
		Expect(err).To(MatchError(ContainSubstring("unknown flag")))
		_, err = run("--settings", "/nonexistent")
		Expect(result.CodeOf(err)).To(Equal(result.SettingInvalid))
	})

	// A second process beside the same target must not start.
	It("refuses a busy port", func() {
		l, err := net.Listen("tcp", fixture.FreeAddress())
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		_, err = run("--settings", writeSettings(`{"listen":"`+l.Addr().String()+`"}`))
		Expect(result.CodeOf(err)).To(Equal(result.AddressInUse))
	})

	// Guards against printed defaults that are not valid settings. With valid ones the
	// process fails only at its listen address, which is in use.
	It("prints defaults that load", func() {
		text, err := run("--print-defaults")
		Expect(err).NotTo(HaveOccurred())
		l, err := net.Listen("tcp", "127.0.0.1:7100")
		if err == nil {
			defer l.Close()
		}
		_, err = run("--settings", writeSettings(text))
		Expect(result.CodeOf(err)).To(Equal(result.AddressInUse))
	})
})
