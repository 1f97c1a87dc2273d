package settings

import (
	"fmt"
	"net/netip"
	"regexp"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/place"
)

// namePattern is the form of IDs, failure domains, regions and streams.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Validate checks the settings. The error is nil or a [place.Errors] with all
// problems, by their keys. Secrets must be loaded already.
func (set Settings) Validate() error {
	es := set.withAdvertiseDefaults().problems()
	return es.Err()
}

func (set Settings) problems() place.Errors {
	var es place.Errors
	checkName(&es, "ID", set.ID)
	checkName(&es, "FailureDomain", set.FailureDomain)
	checkName(&es, "Region", set.Region)
	checkName(&es, "Log.Stream", set.Log.Stream)
	set.checkAddresses(&es)
	set.checkLimits(&es)
	set.checkSpans(&es)
	for _, src := range set.secretSources() {
		if src.required && src.secret.IsZero() && src.file == "" {
			es.Add(src.key, "", fmt.Sprintf("write a secret of at least %d characters, or set %sFile", MinSecretBytes, src.key))
		}
	}
	switch set.Logging.Level {
	case LevelInfo, LevelWarn, LevelError:
	default:
		es.Add("Logging.Level", fmt.Sprintf("%.40q", string(set.Logging.Level)), `write "Info", "Warn" or "Error"`)
	}
	return es
}

func (set Settings) checkAddresses(es *place.Errors) {
	listen := []struct {
		key  string
		addr netip.AddrPort
	}{
		{"Caller.Listen", set.Caller.Listen},
		{"Peer.Listen", set.Peer.Listen},
		{"Operator.Listen", set.Operator.Listen},
	}
	seen := map[netip.AddrPort]string{}
	for _, ln := range listen {
		checkAddress(es, ln.key, ln.addr)
		if other := seen[ln.addr]; other != "" && ln.addr.IsValid() && ln.addr.Port() != 0 {
			es.Add(ln.key, ln.addr.String(), "choose another port; "+other+" already has it")
		}
		seen[ln.addr] = ln.key
	}
	checkAddress(es, "Log.Address", set.Log.Address)
	checkAddress(es, "VMList.Address", set.VMList.Address)
	checkDialable(es, "Log.Address", set.Log.Address)
	checkDialable(es, "VMList.Address", set.VMList.Address)
	checkAdvertised(es, "Caller", set.Caller.Listen, set.Caller.Advertise)
	checkAdvertised(es, "Peer", set.Peer.Listen, set.Peer.Advertise)
	for ix, seed := range set.Peer.Seeds {
		key := fmt.Sprintf("Peer.Seeds[%d]", ix)
		checkAddress(es, key, seed)
		checkDialable(es, key, seed)
	}
}

func (set Settings) checkLimits(es *place.Errors) {
	checkSize(es, "Limits.MaxBody", set.Limits.MaxBody, KiB, GiB)
	checkSize(es, "Limits.MaxHeader", set.Limits.MaxHeader, KiB, MiB)
	checkSize(es, "Limits.MaxAnswerMemory", set.Limits.MaxAnswerMemory, MiB, 64*GiB)
	if size := set.Limits.MaxRequestMemory; size != 0 && (size < 2*set.Limits.MaxBody || size > 64*GiB) {
		es.Add("Limits.MaxRequestMemory", size.String(),
			fmt.Sprintf("write a size from %v, twice Limits.MaxBody, to %v, or leave it out", 2*set.Limits.MaxBody, 64*GiB))
	}
	checkCount(es, "Limits.MaxConnections", set.Limits.MaxConnections, 1<<20)
	checkCount(es, "Limits.MaxStreams", set.Limits.MaxStreams, 1<<20)
	checkCount(es, "Addresses.Count", set.Addresses.Count, 16)
}

func (set Settings) checkSpans(es *place.Errors) {
	checkSpan(es, "Limits.HeaderTimeout", set.Limits.HeaderTimeout, 1, clock.Minute)
	checkSpan(es, "Limits.BodyTimeout", set.Limits.BodyTimeout, 1, clock.Hour)
	checkSpan(es, "Limits.IdleTimeout", set.Limits.IdleTimeout, 1, clock.Hour)
	checkSpan(es, "Addresses.KeepFor", set.Addresses.KeepFor, clock.Second, clock.Hour)
	checkSpan(es, "Answers.KeepFor", set.Answers.KeepFor, clock.Second, clock.Hour)
	checkSpan(es, "Drain.Linger", set.Drain.Linger, 0, clock.Hour)
	checkSpan(es, "Drain.WarnEvery", set.Drain.WarnEvery, clock.Second, clock.Hour)
	checkSpan(es, "Roles.Dwell", set.Roles.Dwell, 2*clock.Minute, 24*clock.Hour)
}

func checkName(es *place.Errors, key, name string) {
	if !namePattern.MatchString(name) {
		es.Add(key, fmt.Sprintf("%.40q", name),
			"write 1 to 63 lower-case letters, digits, dots, dashes or underscores, with a letter or digit first")
	}
}

func checkAddress(es *place.Errors, key string, addr netip.AddrPort) {
	if !addr.IsValid() {
		es.Add(key, "", "write an IP number and a port, such as 10.0.0.1:8443")
	}
}

// checkDialable rejects an address that can't be connected to.
func checkDialable(es *place.Errors, key string, addr netip.AddrPort) {
	if !addr.IsValid() {
		return
	}
	if addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() || addr.Port() == 0 {
		es.Add(key, addr.String(), "write the IP number and port that others connect to")
	}
}

// checkAdvertised checks the address that others connect to. Port 0 is valid if the
// address is the one listened on, because its port is then chosen when listening.
func checkAdvertised(es *place.Errors, table string, listen, advertise netip.AddrPort) {
	if !listen.IsValid() || (advertise == listen && listen.Port() == 0 && !listen.Addr().IsUnspecified()) {
		return
	}
	checkDialable(es, table+".Advertise", advertise)
}

func checkSpan(es *place.Errors, key string, span, least, most clock.Millis) {
	if span < least || span > most {
		es.Add(key, span.String(), fmt.Sprintf("write a span from %v to %v", least, most))
	}
}

func checkSize(es *place.Errors, key string, size, least, most Bytes) {
	if size < least || size > most {
		es.Add(key, size.String(), fmt.Sprintf("write a size from %v to %v", least, most))
	}
}

func checkCount(es *place.Errors, key string, count, most int) {
	if count < 1 || count > most {
		es.Add(key, fmt.Sprint(count), fmt.Sprintf("write a whole number from 1 to %d", most))
	}
}
