package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// pemPrefix is the prefix of a key or certificate given in the settings as PEM text
// rather than as a path.
const pemPrefix = "-----BEGIN "

// check reports inconsistencies between the fields of decoded settings.
func (d *decoder) check(s *Settings) {
	d.checkDataCentres(s)
	d.checkAddresses(s)
	d.checkDurations(s)
	d.checkPeerTLS(s)
	if s.MaxQueuedBytes+s.MaxAnswerBytes > s.MemoryLimit {
		d.addErrorAt("memory_limit", "is less than max_queued_bytes and max_answer_bytes together")
	}
}

// addErrorAt reports an error of the value at a path. If the file does not set that
// value, the position is the start of the file.
func (d *decoder) addErrorAt(path, format string, args ...any) {
	d.addError(d.offsets[path], path+" "+format, args...)
}

func (d *decoder) checkDataCentres(s *Settings) {
	regions := make(map[fleet.DataCentreID]fleet.RegionID)
	for _, dataCentre := range s.DataCentres {
		if _, seen := regions[dataCentre.ID]; seen {
			d.addErrorAt("data_centres", "contains %q twice", dataCentre.ID)
			continue
		}
		regions[dataCentre.ID] = dataCentre.Region
	}
	region, known := regions[s.DataCentre]
	switch {
	case !known:
		d.addErrorAt("data_centre", "%q is unknown: it is not in data_centres", s.DataCentre)
	case region != s.Region:
		d.addErrorAt("region", "%q is not the region of data centre %q, which is %q", s.Region, s.DataCentre, region)
	}
}

func (d *decoder) checkAddresses(s *Settings) {
	first := make(map[string]string)
	for _, own := range []struct{ path, addr string }{
		{"caller_addr", s.CallerAddr}, {"peer_addr", s.PeerAddr}, {"operator_addr", s.OperatorAddr},
	} {
		if other, seen := first[own.addr]; seen {
			d.addErrorAt(own.path, "is the same as %s", other)
		}
		first[own.addr] = own.path
	}
}

func (d *decoder) checkDurations(s *Settings) {
	if 2*s.HeartbeatInterval > s.PeerTimeout {
		d.addErrorAt("peer_timeout", "must be at least two heartbeat intervals")
	}
	if 2*s.HeartbeatInterval > s.PermitTime {
		d.addErrorAt("permit_time", "must be at least two heartbeat intervals")
	}
	if s.PermitTime > s.LoanTime {
		d.addErrorAt("loan_time", "must be at least permit_time")
	}
	if s.ConfigStartWait > s.ConfigLoneWait {
		d.addErrorAt("config_lone_wait", "must be at least config_start_wait")
	}
}

func (d *decoder) checkPeerTLS(s *Settings) {
	if s.PeerTLS == nil {
		if !netip.MustParseAddrPort(s.PeerAddr).Addr().IsLoopback() {
			d.addErrorAt("peer_addr", "is not a loopback address, so peer_tls is required")
		}
		return
	}
	if s.PeerTLS.inline() {
		if err := s.PeerTLS.verify(); err != nil {
			d.addErrorAt("peer_tls", "%v", err)
		}
	}
}

// inline reports whether all three values are PEM text rather than paths.
func (p *PeerTLS) inline() bool {
	return strings.HasPrefix(p.Cert, pemPrefix) && strings.HasPrefix(p.Key, pemPrefix) && strings.HasPrefix(p.CA, pemPrefix)
}

// verify checks that the certificate matches the key and that the CA text contains at
// least one certificate.
func (p *PeerTLS) verify() error {
	if _, err := tls.X509KeyPair([]byte(p.Cert), []byte(p.Key)); err != nil {
		return errors.Wrap(err, "cert and key")
	}
	if !x509.NewCertPool().AppendCertsFromPEM([]byte(p.CA)) {
		return errors.New("ca contains no certificate")
	}
	return nil
}

// loadFiles replaces each path by the contents of its file and verifies the result.
// Relative paths are resolved against the directory.
func (p *PeerTLS) loadFiles(directory string) error {
	for _, text := range []*string{&p.Cert, &p.Key, &p.CA} {
		if strings.HasPrefix(*text, pemPrefix) {
			continue
		}
		path := *text
		if !filepath.IsAbs(path) {
			path = filepath.Join(directory, path)
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return errors.WithStack(err)
		}
		*text = string(data)
	}
	return p.verify()
}
