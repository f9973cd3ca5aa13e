package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"encoding/pem"

	"github.com/rotisserie/eris"
)

const (
	blockPrivateKey  = "PRIVATE KEY"
	blockCertificate = "CERTIFICATE"
	nonceBytes       = 16
	tokenBytes       = 32
)

// NewApprover returns a new signing key.
func NewApprover() (ed25519.PublicKey, ed25519.PrivateKey, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "make signing key")
	}
	return public, private, nil
}

// EncodePrivate writes a signing key as PEM (PKCS #8).
func EncodePrivate(key ed25519.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, eris.Wrap(err, "encode key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: blockPrivateKey, Bytes: der}), nil
}

// DecodePrivate reads what EncodePrivate has written.
func DecodePrivate(content []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(content)
	if block == nil || block.Type != blockPrivateKey {
		return nil, eris.New("not a private key in PEM form")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, eris.Wrap(err, "not a private key")
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, eris.New("not an Ed25519 key")
	}
	return key, nil
}

// NewToken returns a new bearer token for a customer and its hash, which is all
// that a bundle holds of it.
func NewToken() (token, hash string) {
	token = base64.RawURLEncoding.EncodeToString(random(tokenBytes))
	return token, HashToken(token)
}

// HashToken returns the hash of a bearer token, in hexadecimal.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// NewNonce returns a new unguessable name.
func NewNonce() string {
	return hex.EncodeToString(random(nonceBytes))
}

func random(count int) []byte {
	content := make([]byte, count)
	_, _ = rand.Read(content) // never fails, by its documentation
	return content
}
