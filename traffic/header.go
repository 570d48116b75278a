package traffic

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// Headers that proxies add to the messages they forward.
const (
	viaHeader       = "Via"
	forwardedHeader = "Forwarded"
)

// viaName is the name of this system in the Via header.
const viaName = "crocushinge"

// maxHops is the number of Via elements of this system from which a request counts as
// being in a forwarding loop. Without a loop, a request passes at most two hosts.
const maxHops = 4

// protocolPrefix is the prefix of the names of this system's own headers.
const protocolPrefix = "Crocushinge-"

// hopByHop are the headers that apply to one connection only (RFC 9110, 7.6.1), in
// canonical form.
var hopByHop = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// clip removes the unused capacity of a slice, so that an append copies the slice. The
// inbound and the outbound message can thus share header values, because no value is
// changed in place.
func clip(values []string) []string { return values[:len(values):len(values)] }

// copyHeaders copies the end-to-end headers.
func copyHeaders(dst, src http.Header) {
	for name, values := range src {
		dst[name] = clip(values)
	}
	dropHopByHop(dst, src)
}

// dropHopByHop removes from dst the hop-by-hop headers, including those listed in the
// Connection header of src. This system's own headers cannot be removed by listing
// them.
func dropHopByHop(dst, src http.Header) {
	for _, list := range src["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			name = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))
			if !strings.HasPrefix(name, protocolPrefix) {
				delete(dst, name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(dst, name)
	}
}

// copyTrailers copies the end-to-end trailers, without this system's own headers.
// Values that are not known yet are copied as empty lists.
func copyTrailers(dst, src http.Header) {
	for name, values := range src {
		if !strings.HasPrefix(name, protocolPrefix) && !isHopByHop(name) {
			dst[name] = append([]string(nil), values...)
		}
	}
}

func isHopByHop(name string) bool {
	for _, h := range hopByHop {
		if name == h {
			return true
		}
	}
	return false
}

// acceptsTrailers reports whether the sender of a request accepts trailers.
func acceptsTrailers(header http.Header) bool { return hasToken(header["Te"], "trailers") }

// hasToken reports whether one of the comma-separated lists has the token.
func hasToken(lists []string, token string) bool {
	for _, list := range lists {
		for element := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(textproto.TrimString(element), token) {
				return true
			}
		}
	}
	return false
}

// addVia adds this system to the Via header of a message that it received with the
// given protocol version.
func addVia(header http.Header, major, minor int) {
	header[viaHeader] = append(header[viaHeader], viaElement(major, minor))
}

func viaElement(major, minor int) string {
	switch {
	case major >= 2:
		return "2 " + viaName
	case minor == 0:
		return "1.0 " + viaName
	default:
		return "1.1 " + viaName
	}
}

// hops returns how many times a request has passed a host of this system.
func hops(header http.Header) int {
	n := 0
	for _, list := range header[viaHeader] {
		n += strings.Count(list, " "+viaName)
	}
	return n
}

// addForwarded adds the address of the sender and the Host header of a request to its
// Forwarded header (RFC 7239).
func addForwarded(header http.Header, r *http.Request) {
	var element strings.Builder
	element.Grow(len(r.RemoteAddr) + len(r.Host) + forwardedOverhead)
	element.WriteString("for=")
	element.WriteString(forwardedNode(r.RemoteAddr))
	if r.Host != "" && !strings.ContainsAny(r.Host, "\"\\") {
		element.WriteString(`;host="`)
		element.WriteString(r.Host)
		element.WriteString(`"`)
	}
	element.WriteString(";proto=http")
	header[forwardedHeader] = append(header[forwardedHeader], element.String())
}

// forwardedOverhead is the space for the parameter names of a Forwarded element, in
// bytes.
const forwardedOverhead = 32

// forwardedNode returns the host of an address as a node identifier of RFC 7239.
func forwardedNode(address string) string {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return "unknown"
	}
	if strings.Contains(ip, ":") {
		return `"[` + ip + `]"`
	}
	return ip
}
