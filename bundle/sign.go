package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

// ErrSignature means that too few trusted approvers have signed a bundle.
var ErrSignature = eris.New("bundle not signed by enough approvers")

// signaturePurpose keeps a bundle's signature from being used for anything else.
const signaturePurpose = "shelfshelf bundle v1\n"

// Signed is a bundle's exact content with the approvers' signatures.
type Signed struct {
	Content    []byte
	Signatures []Signature
}

// Signature is one approver's signature of a bundle's content.
type Signature struct {
	Approver string
	Value    []byte
}

type wireSigned struct {
	Content    []byte          `json:"content"`
	Signatures []wireSignature `json:"signatures"`
}

type wireSignature struct {
	Approver string `json:"approver"`
	Value    string `json:"value"`
}

// Sign adds an approver's signature, or replaces the one it gave before.
func (s *Signed) Sign(approver string, key ed25519.PrivateKey) {
	value := ed25519.Sign(key, signedMessage(s.Content))
	for i := range s.Signatures {
		if s.Signatures[i].Approver == approver {
			s.Signatures[i].Value = value
			return
		}
	}
	s.Signatures = append(s.Signatures, Signature{Approver: approver, Value: value})
}

// Verify checks that at least threshold distinct approvers have signed; the
// error is ErrSignature and says who has.
func (s *Signed) Verify(approvers []shelfshelf.Approver, threshold int) error {
	message := signedMessage(s.Content)
	valid := make(map[string]bool)
	for _, approver := range approvers {
		if len(approver.PublicKey) != ed25519.PublicKeySize {
			continue
		}
		for _, signature := range s.Signatures {
			if signature.Approver != approver.Name {
				continue
			}
			if ed25519.Verify(approver.PublicKey, message, signature.Value) {
				valid[string(approver.PublicKey)] = true
			}
		}
	}
	if threshold < 1 || len(valid) < threshold {
		return eris.Wrapf(ErrSignature, "%d valid of %d needed, %d given", len(valid), threshold, len(s.Signatures))
	}
	return nil
}

// Encode writes the signed bundle as it lies in the object store.
func (s *Signed) Encode() ([]byte, error) {
	wire := wireSigned{Content: s.Content}
	for _, signature := range s.Signatures {
		wire.Signatures = append(wire.Signatures, wireSignature{
			Approver: signature.Approver,
			Value:    hex.EncodeToString(signature.Value),
		})
	}
	encoded, err := json.MarshalIndent(wire, "", "  ")
	if err != nil {
		return nil, eris.Wrap(err, "encode signed bundle")
	}
	return append(encoded, '\n'), nil
}

// DecodeSigned reads what Encode has written.
func DecodeSigned(encoded []byte) (*Signed, error) {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	var wire wireSigned
	if err := decoder.Decode(&wire); err != nil {
		return nil, eris.Wrap(err, "not a signed bundle")
	}
	if len(wire.Content) == 0 {
		return nil, eris.New("not a signed bundle: field content is empty")
	}
	signed := &Signed{Content: wire.Content}
	for i, signature := range wire.Signatures {
		value, err := hex.DecodeString(signature.Value)
		if err != nil {
			return nil, eris.New(fmt.Sprintf("not a signed bundle: signatures[%d].value is not hexadecimal", i))
		}
		signed.Signatures = append(signed.Signatures, Signature{Approver: signature.Approver, Value: value})
	}
	return signed, nil
}

func signedMessage(content []byte) []byte {
	digest := sha256.Sum256(content)
	return append([]byte(signaturePurpose), digest[:]...)
}
