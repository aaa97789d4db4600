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

// pemStart begins a key or certificate that stands in the settings themselves.
const pemStart = "-----BEGIN "

// check reports what is wrong between the fields of decoded settings.
func (d *decoder) check(s *Settings) {
	d.checkDataCentres(s)
	d.checkAddresses(s)
	d.checkTimes(s)
	d.checkPeerTLS(s)
	if s.MaxQueuedBytes+s.MaxAnswerBytes > s.MemoryLimit {
		d.failAt("memory_limit", "is less than max_queued_bytes and max_answer_bytes together")
	}
}

// failAt reports a fault of the value at a path, or of the whole file if the path
// was left to its default.
func (d *decoder) failAt(path, format string, args ...any) {
	d.fail(d.offsets[path], path+" "+format, args...)
}

func (d *decoder) checkDataCentres(s *Settings) {
	regions := make(map[fleet.DataCentreID]fleet.RegionID)
	for _, dataCentre := range s.DataCentres {
		if _, seen := regions[dataCentre.ID]; seen {
			d.failAt("data_centres", "has %q twice", dataCentre.ID)
			continue
		}
		regions[dataCentre.ID] = dataCentre.Region
	}
	region, known := regions[s.DataCentre]
	switch {
	case !known:
		d.failAt("data_centre", "%q is unknown: it is not in data_centres", s.DataCentre)
	case region != s.Region:
		d.failAt("region", "%q is not that of %q, which is %q", s.Region, s.DataCentre, region)
	}
}

func (d *decoder) checkAddresses(s *Settings) {
	first := make(map[string]string)
	for _, own := range []struct{ path, addr string }{
		{"caller_addr", s.CallerAddr}, {"peer_addr", s.PeerAddr}, {"operator_addr", s.OperatorAddr},
	} {
		if other, seen := first[own.addr]; seen {
			d.failAt(own.path, "is the same as %s", other)
		}
		first[own.addr] = own.path
	}
}

func (d *decoder) checkTimes(s *Settings) {
	if 2*s.HeartbeatInterval > s.PeerTimeout {
		d.failAt("peer_timeout", "must be at least two heartbeat intervals")
	}
	if 2*s.HeartbeatInterval > s.PermitTime {
		d.failAt("permit_time", "must be at least two heartbeat intervals")
	}
	if s.PermitTime > s.LoanTime {
		d.failAt("loan_time", "must not be below permit_time")
	}
	if s.ConfigStartWait > s.ConfigLoneWait {
		d.failAt("config_lone_wait", "must not be below config_start_wait")
	}
}

func (d *decoder) checkPeerTLS(s *Settings) {
	if s.PeerTLS == nil {
		if !netip.MustParseAddrPort(s.PeerAddr).Addr().IsLoopback() {
			d.failAt("peer_addr", "is not a loopback address, so peer_tls is needed")
		}
		return
	}
	if s.PeerTLS.inline() {
		if err := s.PeerTLS.verify(); err != nil {
			d.failAt("peer_tls", "%v", err)
		}
	}
}

// inline reports whether the settings themselves hold all of the PEM text.
func (p *PeerTLS) inline() bool {
	return strings.HasPrefix(p.Cert, pemStart) && strings.HasPrefix(p.Key, pemStart) && strings.HasPrefix(p.CA, pemStart)
}

// verify checks that certificate and key belong together and that the authority's
// certificates can be read.
func (p *PeerTLS) verify() error {
	if _, err := tls.X509KeyPair([]byte(p.Cert), []byte(p.Key)); err != nil {
		return errors.Wrap(err, "cert and key")
	}
	if !x509.NewCertPool().AppendCertsFromPEM([]byte(p.CA)) {
		return errors.New("ca holds no certificate")
	}
	return nil
}

// load replaces paths, relative to the directory, by the text of their files.
func (p *PeerTLS) load(directory string) error {
	for _, text := range []*string{&p.Cert, &p.Key, &p.CA} {
		if strings.HasPrefix(*text, pemStart) {
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
