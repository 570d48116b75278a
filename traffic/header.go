package traffic

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// Headers that proxies add to what they pass on.
const (
	viaHeader       = "Via"
	forwardedHeader = "Forwarded"
)

// viaName is the name of this system in the Via header.
const viaName = "crocushinge"

// maxHops is how often a request may have passed this system before it counts
// as going round in a loop. A request passes two hosts at most.
const maxHops = 4

// protocolPrefix is the start of the names of this system's own headers.
const protocolPrefix = "Crocushinge-"

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1),
// in canonical form.
var hopByHop = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// clip returns the values such that appending to them copies them. Values are
// never changed in place, so the messages of both connections may share them.
func clip(values []string) []string { return values[:len(values):len(values)] }

// copyHeaders copies end-to-end headers.
func copyHeaders(dst, src http.Header) {
	for name, values := range src {
		dst[name] = clip(values)
	}
	dropHopByHop(dst, src)
}

// dropHopByHop removes from dst what src declares to concern one connection
// only.
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

// copyTrailers copies the trailers that may pass from one connection to
// another. Values that are not known yet are copied as empty lists.
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

// acceptsTrailers reports whether the sender of a request takes trailers.
func acceptsTrailers(header http.Header) bool { return hasToken(header["Te"], "trailers") }

// hasToken reports whether a comma-separated list has a token.
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

// addVia notes that a message of the given protocol version passed this
// system.
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

// hops counts how often a request passed this system.
func hops(header http.Header) int {
	n := 0
	for _, list := range header[viaHeader] {
		n += strings.Count(list, " "+viaName)
	}
	return n
}

// addForwarded notes from where a request came (RFC 7239).
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

// forwardedExtra is the room for the names in an element of Forwarded, in
// bytes.
const forwardedOverhead = 32

// forwardedNode writes an address without its port as RFC 7239 wants it.
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
