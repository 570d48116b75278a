package target

// Sign is where a sign comes from that a target leaves.
type Sign uint8

// The signs. A target leaves while at least one is set.
const (
	// SignHeader is the target's own drain header.
	SignHeader Sign = 1 << iota
	// SignHostList is the platform's host list.
	SignHostList
	// SignOperator is an operator's drain.
	SignOperator
	// SignPeer is another host of the entry set.
	SignPeer
	// SignAnswer is the answer of a host of the entry set to one that asked.
	SignAnswer
)

// ownSigns are the signs that a host tells its peers of. A sign heard from a
// peer is not passed on, or two hosts would confirm each other for ever.
const ownSigns = SignHeader | SignHostList | SignOperator

var signNames = map[Sign]string{
	SignHeader:   "drain header",
	SignHostList: "host list",
	SignOperator: "operator",
	SignPeer:     "peer",
	SignAnswer:   "answer of the entry set",
}

// String returns the name of a single sign.
func (s Sign) String() string { return signNames[s] }
