package peer

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// LoadTLS returns the configuration for both sides of connections between peers: TLS
// 1.3, the certificate of this instance, and one or more certificate authorities of
// the fleet, against which peers are verified. One of the authorities must have signed
// the certificate, for both server and client authentication.
func LoadTLS(certPEM, keyPEM, caPEM []byte) (*tls.Config, error) {
	certificate, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, newError(KindTLS, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(caPEM) {
		return nil, errorf(KindTLS, "no certificate authority in the PEM text")
	}
	config := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{certificate},
		RootCAs:                authorities,
		ClientCAs:              authorities,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
	}
	return config, nil
}

// CheckIdentity returns an error of KindIdentity unless the certificate in the
// configuration names the instance.
func CheckIdentity(c *tls.Config, id fleet.InstanceID) error {
	if !certNamesInstance(c.Certificates[0].Leaf, id) {
		return errorf(KindIdentity, "own certificate does not name %q", id)
	}
	return nil
}

// Expiry returns the time at which the certificate in the configuration expires.
// Existing connections stay open after that time, but new ones fail.
func Expiry(c *tls.Config) time.Time {
	return c.Certificates[0].Leaf.NotAfter
}

// certNamesInstance reports whether a certificate has the instance id as a DNS name or
// as its common name. Wildcards are not expanded.
func certNamesInstance(c *x509.Certificate, id fleet.InstanceID) bool {
	return c.Subject.CommonName == string(id) || slices.Contains(c.DNSNames, string(id))
}

// clientConfig returns the configuration for dialling one instance. Peers are dialled
// by IP address and instance ids need not be valid host names. Therefore the standard
// verification is off, and verifyServer verifies the chain and the instance id.
func clientConfig(c *tls.Config, id fleet.InstanceID) *tls.Config {
	client := c.Clone()
	client.InsecureSkipVerify = true
	client.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyServer(client, state, id)
	}
	return client
}

// verifyServer verifies the certificate chain of a dialled peer, and that its
// certificate names the instance.
func verifyServer(c *tls.Config, state tls.ConnectionState, id fleet.InstanceID) error {
	if len(state.PeerCertificates) == 0 {
		return errorf(KindTLS, "peer presented no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         c.RootCAs,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if c.Time != nil {
		options.CurrentTime = c.Time()
	}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return newError(KindTLS, err)
	}
	if !certNamesInstance(state.PeerCertificates[0], id) {
		return errorf(KindIdentity, "certificate does not name %q", id)
	}
	return nil
}

// tlsError returns an error of the handshake as an Error: one of verifyServer
// unchanged, any other as KindTLS.
func tlsError(err error) error {
	if KindOf(err) != "" {
		return err
	}
	return newError(KindTLS, err)
}
