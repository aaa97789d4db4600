package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Validity period and serial number size of certificates of an EphemeralCA.
const (
	ephemeralBackdate = time.Hour
	ephemeralLifetime = 365 * 24 * time.Hour
	serialBits        = 120
)

// EphemeralCA is an in-memory certificate authority for development and tests. It is
// safe for concurrent use.
type EphemeralCA struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

// NewEphemeralCA returns a certificate authority with a new key, which is never
// stored.
func NewEphemeralCA() (*EphemeralCA, error) {
	template := certificateTemplate("medlarwind ephemeral CA")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, der, err := sign(template, nil)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, newError(KindTLS, err)
	}
	return &EphemeralCA{key: key, certificate: certificate}, nil
}

// Issue issues a certificate for an instance and returns its TLS configuration, as
// LoadTLS does.
func (ca *EphemeralCA) Issue(id fleet.InstanceID) (*tls.Config, error) {
	certPEM, keyPEM, caPEM, err := ca.IssuePEM(id)
	if err != nil {
		return nil, err
	}
	return LoadTLS(certPEM, keyPEM, caPEM)
}

// IssuePEM issues a certificate for an instance and returns it with its key and the
// CA certificate, in the form that LoadTLS takes.
func (ca *EphemeralCA) IssuePEM(id fleet.InstanceID) (certPEM, keyPEM, caPEM []byte, err error) {
	template := certificateTemplate(string(id))
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, der, err := sign(template, ca)
	if err != nil {
		return nil, nil, nil, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, nil, newError(KindTLS, err)
	}
	certPEM = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	keyPEM = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
	caPEM = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: ca.certificate.Raw})
	return certPEM, keyPEM, caPEM, nil
}

// certificateTemplate returns the fields common to all certificates.
func certificateTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		Subject:   pkix.Name{CommonName: name},
		NotBefore: now.Add(-ephemeralBackdate),
		NotAfter:  now.Add(ephemeralLifetime),
	}
}

// sign generates a key and returns it with its certificate in DER form, which ca
// signs. The certificate is self-signed if ca is nil.
func sign(template *x509.Certificate, ca *EphemeralCA) (*ecdsa.PrivateKey, []byte, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, newError(KindTLS, err)
	}
	template.SerialNumber = serial
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, newError(KindTLS, err)
	}
	parent, signer := template, key
	if ca != nil {
		parent, signer = ca.certificate, ca.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return nil, nil, newError(KindTLS, err)
	}
	return key, der, nil
}
