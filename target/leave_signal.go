package target

// LeaveSignal is a source from which a host learned that a target is leaving, or a set
// of such sources.
type LeaveSignal uint8

// Sources of leave signals. A target is leaving while at least one is set.
const (
	// SignalFromHeader is the drain header of the target itself.
	SignalFromHeader LeaveSignal = 1 << iota
	// SignalFromHostList is the host list of the platform.
	SignalFromHostList
	// SignalFromOperator is a drain by an operator.
	SignalFromOperator
	// SignalFromPeer is a report of another host that exchanges reports about the service.
	SignalFromPeer
	// SignalFromEntrySet is the response of the entry set to a host that queried it for
	// leaving targets.
	SignalFromEntrySet
)

// ownLeaveSignals are the signals that a host reports to its peers. A signal received
// from a peer is not passed on; otherwise two hosts would confirm each other forever.
const ownLeaveSignals = SignalFromHeader | SignalFromHostList | SignalFromOperator

var leaveSignalNames = map[LeaveSignal]string{
	SignalFromHeader:   "drain header",
	SignalFromHostList: "host list",
	SignalFromOperator: "operator",
	SignalFromPeer:     "peer",
	SignalFromEntrySet: "answer of the entry set",
}

// String returns the name of a single source.
func (s LeaveSignal) String() string { return leaveSignalNames[s] }
