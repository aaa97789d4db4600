package peer

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// LoadTLS returns the configuration for both ends of connections between peers:
// TLS 1.3, this instance's certificate, and the fleet's certificate authorities,
// one or several, against which peers are verified. The certificate must be signed
// by one of them, for use by servers and by clients.
func LoadTLS(certPEM, keyPEM, caPEM []byte) (*tls.Config, error) {
	certificate, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, failure(KindTLS, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(caPEM) {
		return nil, failuref(KindTLS, "no certificate authority in the PEM text")
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

// CheckIdentity returns an error of KindIdentity unless the configuration's own
// certificate names the instance.
func CheckIdentity(c *tls.Config, id fleet.InstanceID) error {
	if !names(c.Certificates[0].Leaf, id) {
		return failuref(KindIdentity, "own certificate does not name %q", id)
	}
	return nil
}

// Expiry returns when the configuration's own certificate expires. Connections that
// exist then stay; no new ones can be made.
func Expiry(c *tls.Config) time.Time {
	return c.Certificates[0].Leaf.NotAfter
}

// names reports whether a certificate names the instance, as a DNS name or as its
// common name. Wildcards are not expanded.
func names(c *x509.Certificate, id fleet.InstanceID) bool {
	return c.Subject.CommonName == string(id) || slices.Contains(c.DNSNames, string(id))
}

// clientConfig returns the configuration for dialling one instance. Peers are
// dialled by IP address and instance ids need not be valid host names, so the chain
// is verified here, and the name against the instance id.
func clientConfig(c *tls.Config, id fleet.InstanceID) *tls.Config {
	client := c.Clone()
	client.InsecureSkipVerify = true
	client.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyServer(client, state, id)
	}
	return client
}

func verifyServer(c *tls.Config, state tls.ConnectionState, id fleet.InstanceID) error {
	if len(state.PeerCertificates) == 0 {
		return failuref(KindTLS, "no certificate")
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
		return failure(KindTLS, err)
	}
	if !names(state.PeerCertificates[0], id) {
		return failuref(KindIdentity, "certificate does not name %q", id)
	}
	return nil
}

// tlsFailure classifies an error of the handshake.
func tlsFailure(err error) error {
	if KindOf(err) != "" {
		return err
	}
	return failure(KindTLS, err)
}
