package target

// LeaveSignal is the source of a leave signal, which says that a target is leaving.
type LeaveSignal uint8

// Sources of leave signals. A target is leaving while at least one is set.
const (
	// SignalHeader is the drain header of the target itself.
	SignalHeader LeaveSignal = 1 << iota
	// SignalHostList is the host list of the platform.
	SignalHostList
	// SignalOperator is a drain by an operator.
	SignalOperator
	// SignalPeer is a report of another host that exchanges reports about the service.
	SignalPeer
	// SignalResponse is the response of the entry set to a host that queried it for
	// leaving targets.
	SignalResponse
)

// ownLeaveSignals are the signals that a host reports to its peers. A signal received
// from a peer is not passed on; otherwise two hosts would confirm each other forever.
const ownLeaveSignals = SignalHeader | SignalHostList | SignalOperator

var leaveSignalNames = map[LeaveSignal]string{
	SignalHeader:   "drain header",
	SignalHostList: "host list",
	SignalOperator: "operator",
	SignalPeer:     "peer",
	SignalResponse: "answer of the entry set",
}

// String returns the name of a single source.
func (s LeaveSignal) String() string { return leaveSignalNames[s] }
