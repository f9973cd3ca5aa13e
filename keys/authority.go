package keys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/rotisserie/eris"
)

const (
	authorityLife = 10 * 365 * 24 * time.Hour
	serialBits    = 120
	// clockSkew is how much earlier than now a certificate begins.
	clockSkew = time.Hour
)

// Authority issues the certificates by which instances know each other.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// Pair is a certificate and its key, as PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority returns a new authority, valid from now for ten years.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "make authority key")
	}
	template := &x509.Certificate{
		SerialNumber:          serial(),
		Subject:               pkix.Name{CommonName: "shelfshelf instances"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(authorityLife),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, eris.Wrap(err, "make authority")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "make authority")
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// ReadAuthority reads an authority that Pair has written.
func ReadAuthority(pair Pair) (*Authority, error) {
	loaded, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, eris.Wrap(err, "read authority")
	}
	signer, ok := loaded.PrivateKey.(crypto.Signer)
	if !ok {
		return nil, eris.New("the authority's key can't sign")
	}
	return &Authority{certificate: loaded.Leaf, key: signer}, nil
}

// Pair returns the authority as PEM.
func (a *Authority) Pair() (Pair, error) {
	return encodePair(a.certificate.Raw, a.key)
}

// Issue returns a certificate for an instance.
func (a *Authority) Issue(instance string, now time.Time, life time.Duration) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, eris.Wrap(err, "make instance key")
	}
	template := &x509.Certificate{
		SerialNumber: serial(),
		Subject:      pkix.Name{CommonName: instance},
		DNSNames:     []string{instance},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(life),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "issue certificate")
	}
	return encodePair(der, key)
}

func encodePair(der []byte, key crypto.Signer) (Pair, error) {
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "encode key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: blockPrivateKey, Bytes: private}),
	}, nil
}

func serial() *big.Int {
	number, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		panic(err) // never fails, by its documentation
	}
	return number
}

// TLSConfig makes the configuration of one instance for both directions: it
// shows the pair and trusts only the authority.
func TLSConfig(pair Pair, authority []byte) (*tls.Config, error) {
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, eris.Wrap(err, "read certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, eris.New("the authority file holds no certificate")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
	}, nil
}
