// Package urlpath reads the path of a request in the ways in which a host and its targets may read
// it. They can differ: a target may take "/a/%2e%2e/b" for "/b", and "/a%2Fb" for "/a/b".
package urlpath

import "strings"

// Path is the path of a request.
type Path struct {
	// Sent is the path as the caller sent it, with its percent-encoding.
	Sent string
	// Canonical has the percent-encoding of RFC 3986, 6.2.2.1 and 6.2.2.2: unreserved characters
	// are not encoded, and hexadecimal digits are capitals. All who know the RFC take it for Sent.
	Canonical string
	// Normal is Canonical without the segments "." and ".." (6.2.2.3).
	Normal string
	// Lenient is the path as targets read it that decode all of it, take "\" for "/", ignore
	// parameters of segments (";") and empty segments. It has the encoding of Canonical.
	Lenient string
}

// New returns the path that is sent as the given text.
func New(sent string) Path {
	if isPlain(sent) {
		return Path{sent, sent, sent, sent}
	}
	canonical := Canonical(sent)
	return Path{Sent: sent, Canonical: canonical, Normal: removeDots(canonical), Lenient: lenient(canonical)}
}

// isPlain reports whether all forms of the path are the same.
func isPlain(sent string) bool {
	for i := range len(sent) {
		switch c := sent[i]; {
		case c == '/':
			if i+1 < len(sent) && (sent[i+1] == '/' || sent[i+1] == '.') {
				return false
			}
		case c == ';' || !isPathChar(c):
			return false
		}
	}
	return true
}

// Canonical returns a path, or a prefix of paths, with canonical percent-encoding. Characters that a
// path cannot have are encoded.
func Canonical(s string) string {
	var out strings.Builder
	for i := 0; i < len(s); i++ {
		c, encoded := decodeAt(s, i)
		if encoded {
			i += 2
		}
		if isUnreserved(c) || !encoded && isPathChar(c) {
			out.WriteByte(c)
		} else {
			writeEncoded(&out, c)
		}
	}
	return out.String()
}

// decodeAt returns the byte at a position, and whether it is percent-encoded.
func decodeAt(s string, i int) (c byte, encoded bool) {
	if s[i] != '%' || i+2 >= len(s) {
		return s[i], false
	}
	high, low := hexValue(s[i+1]), hexValue(s[i+2])
	if high < 0 || low < 0 {
		return s[i], false
	}
	return byte(high<<4 | low), true
}

func hexValue(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	default:
		return -1
	}
}

const hexDigits = "0123456789ABCDEF"

func writeEncoded(out *strings.Builder, c byte) {
	out.WriteByte('%')
	out.WriteByte(hexDigits[c>>4])
	out.WriteByte(hexDigits[c&0xf])
}

// isUnreserved reports whether percent-encoding a character changes nothing (RFC 3986, 2.3).
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// isPathChar reports whether a path may have the character without encoding (RFC 3986, 3.3).
func isPathChar(c byte) bool { return isUnreserved(c) || strings.IndexByte("!$&'()*+,;=:@/", c) >= 0 }

// removeDots removes the segments "." and ".." of an absolute path (RFC 3986, 5.2.4). Empty segments
// remain.
func removeDots(s string) string {
	if !strings.Contains(s, "/.") {
		return s
	}
	var kept []string
	segments := strings.Split(s, "/")[1:]
	for i, segment := range segments {
		if segment != "." && segment != ".." {
			kept = append(kept, segment)
			continue
		}
		if segment == ".." && len(kept) > 0 {
			kept = kept[:len(kept)-1]
		}
		if i == len(segments)-1 {
			kept = append(kept, "")
		}
	}
	return "/" + strings.Join(kept, "/")
}

// lenient returns the form Lenient of a canonical path.
func lenient(canonical string) string {
	var decoded strings.Builder
	inParameter := false
	for i := 0; i < len(canonical); i++ {
		c, encoded := decodeAt(canonical, i)
		if encoded {
			i += 2
		}
		if c == '\\' {
			c = '/'
		}
		inParameter = c != '/' && (inParameter || c == ';')
		if !inParameter {
			decoded.WriteByte(c)
		}
	}
	return encode(removeDots(mergeSlashes(decoded.String())))
}

func mergeSlashes(s string) string {
	for strings.Contains(s, "//") {
		s = strings.ReplaceAll(s, "//", "/")
	}
	return s
}

// encode returns the canonical encoding of a decoded path.
func encode(decoded string) string {
	var out strings.Builder
	for i := range len(decoded) {
		if c := decoded[i]; isPathChar(c) {
			out.WriteByte(c)
		} else {
			writeEncoded(&out, c)
		}
	}
	return out.String()
}
