// Package trust holds mutual TLS between the system's own processes: loading
// and reloading of keys, and the check that a peer is who it says it is.
//
// Every process has a certificate whose DNS name is its process name, signed
// by the fleet's certificate authority. A Keys value may be used by any
// goroutine.
package trust

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/settings"
	"agatelanding.example/agatelanding/internal/telemetry"
)

// reloadInterval is how often the files are looked at for a replaced
// certificate. Certificates are replaced hours before they end.
const reloadInterval = time.Minute

// Settings name the files of a process's keys. All are empty for plain TCP.
type Settings struct {
	CertFile string `json:"cert_file,omitempty" doc:"Certificate of this process in PEM; its DNS name is the process name."`
	KeyFile  string `json:"key_file,omitempty" doc:"Private key in PEM."`
	CAFile   string `json:"ca_file,omitempty" doc:"Certificate authority of the fleet in PEM."`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() []settings.Fault {
	set := 0
	for _, f := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return []settings.Fault{{Field: "cert_file", Reason: "cert_file, key_file and ca_file go together"}}
	}
	return nil
}

// Enabled reports whether keys are configured.
func (s *Settings) Enabled() bool { return s.CertFile != "" }

// Keys holds the loaded keys of a process. A nil *Keys means plain TCP.
type Keys struct {
	settings Settings

	mu      sync.Mutex
	cert    *tls.Certificate
	roots   *x509.CertPool
	checked time.Time
	changed time.Time
}

// Load reads the keys; it returns nil without an error when none are
// configured.
func Load(s Settings) (*Keys, error) {
	if !s.Enabled() {
		return nil, nil
	}
	k := &Keys{settings: s}
	if err := k.read(); err != nil {
		return nil, result.Wrap(result.SettingInvalid, err)
	}
	k.checked = time.Now()
	k.changed = k.modified()
	return k, nil
}

func (k *Keys) read() error {
	cert, err := tls.LoadX509KeyPair(k.settings.CertFile, k.settings.KeyFile)
	if err != nil {
		return err
	}
	pem, err := os.ReadFile(k.settings.CAFile)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return result.Newf(result.SettingInvalid, "%s holds no certificate", k.settings.CAFile)
	}
	k.cert, k.roots = &cert, roots
	return nil
}

func (k *Keys) modified() time.Time {
	var latest time.Time
	for _, f := range []string{k.settings.CertFile, k.settings.KeyFile, k.settings.CAFile} {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the keys, read again when a file has changed. A file that
// does not load leaves the old keys in use.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); now.Sub(k.checked) >= reloadInterval {
		k.checked = now
		k.reload()
	}
	return k.cert, k.roots
}

func (k *Keys) reload() {
	modified := k.modified()
	if !modified.After(k.changed) {
		return
	}
	if err := k.read(); err != nil {
		telemetry.For("trust").Error(err, "the replaced keys do not load; the old ones stay in use")
		return
	}
	k.changed = modified
	telemetry.For("trust").Info("keys reloaded")
}

func (k *Keys) config() *tls.Config {
	cert, roots := k.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, RootCAs: roots,
		ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

// Listener returns a listener that demands a certificate of every peer. Without
// keys it returns l.
func (k *Keys) Listener(l net.Listener) net.Listener {
	if k == nil {
		return l
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.config(), nil },
	})
}

// Client returns a connection to the process name over nc. The name in the
// peer's certificate must be the same. Without keys it returns nc.
func (k *Keys) Client(nc net.Conn, name string) net.Conn {
	if k == nil {
		return nc
	}
	cfg := k.config()
	cfg.ServerName = name
	return tls.Client(nc, cfg)
}
