package trust_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/trust"
	"agatelanding.example/agatelanding/internal/wire"
)

func TestTrust(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trust")
}

// authority is a certificate authority for tests. Its files are in dir.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(name string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	a := &authority{dir: GinkgoT().TempDir(), key: key}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	writePEM(filepath.Join(a.dir, "ca.pem"), "CERTIFICATE", der)
	return a
}

func writePEM(path, kind string, der []byte) {
	Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

// issue writes a certificate and key for a process and returns its settings.
func (a *authority) issue(process string) trust.Settings {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{process}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	private, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	s := trust.Settings{
		CertFile: filepath.Join(a.dir, process+".pem"), KeyFile: filepath.Join(a.dir, process+".key"), CAFile: filepath.Join(a.dir, "ca.pem"),
	}
	writePEM(s.CertFile, "CERTIFICATE", der)
	writePEM(s.KeyFile, "EC PRIVATE KEY", private)
	return s
}

// load returns the keys that the settings name.
func load(s trust.Settings) *trust.Keys {
	keys, err := trust.Load(s)
	Expect(err).NotTo(HaveOccurred())
	return keys
}

// handshake connects a client to the server process target-1 and returns the
// handshake error of each side. dialed is the process name that the client
// expects, helloName the one that it sends in its Hello.
func handshake(server, client *trust.Keys, dialed, helloName string) (serverErr, clientErr error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	l = server.Listener(l)
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		nc, err := l.Accept()
		if err == nil {
			defer nc.Close()
			_, err = wire.NewConn(nc).Handshake(wire.Hello{Process: "target-1"})
		}
		done <- err
	}()
	nc, err := net.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer nc.Close()
	_, clientErr = wire.NewConn(client.Client(nc, dialed)).Handshake(wire.Hello{Process: helloName})
	nc.Close()
	return <-done, clientErr
}

var _ = Describe("Keys", func() {
	It("allow a handshake between processes of one fleet", func() {
		a := newAuthority("fleet")
		serverErr, clientErr := handshake(load(a.issue("target-1")), load(a.issue("entry-1")), "target-1", "entry-1")
		Expect(serverErr).NotTo(HaveOccurred())
		Expect(clientErr).NotTo(HaveOccurred())
	})

	// A process with a valid certificate must not be accepted as another process.
	It("refuse a peer whose Hello has another name than its certificate", func() {
		a := newAuthority("fleet")
		serverErr, _ := handshake(load(a.issue("target-1")), load(a.issue("entry-1")), "target-1", "entry-2")
		Expect(result.CodeOf(serverErr)).To(Equal(result.UntrustedPeer))
	})

	It("refuse a target whose certificate is not for the dialed name", func() {
		a := newAuthority("fleet")
		_, clientErr := handshake(load(a.issue("target-1")), load(a.issue("entry-1")), "target-2", "entry-1")
		Expect(clientErr).To(HaveOccurred())
	})

	It("refuse a certificate signed by another authority, and plain TCP", func() {
		a, b := newAuthority("fleet"), newAuthority("other")
		serverErr, _ := handshake(load(a.issue("target-1")), load(b.issue("entry-1")), "target-1", "entry-1")
		Expect(serverErr).To(HaveOccurred())
		serverErr, _ = handshake(load(a.issue("target-1")), nil, "target-1", "entry-1")
		Expect(serverErr).To(HaveOccurred())
	})

	It("fail to load when files are missing, and are nil when no files are configured", func() {
		_, err := trust.Load(trust.Settings{CertFile: "none", KeyFile: "none", CAFile: "none"})
		Expect(result.CodeOf(err)).To(Equal(result.SettingInvalid))
		Expect(load(trust.Settings{})).To(BeNil())
		Expect((&trust.Settings{CertFile: "only"}).Validate()).To(HaveLen(1))
	})
})
