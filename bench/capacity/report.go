package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"
)

func newTable(header string) *tabwriter.Writer {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	return w
}

func flush(w *tabwriter.Writer) {
	_ = w.Flush()
	fmt.Println()
}

func printMessages(call callCost) {
	w := newTable("one call between hosts\tboth sides together")
	fmt.Fprintf(w, "processor time, open connection\t%v\n", call.openConnection.Round(time.Microsecond))
	fmt.Fprintf(w, "processor time, new connection\t%v\n", call.newConnection.Round(time.Microsecond))
	fmt.Fprintf(w, "bytes besides the messages\t%.0f\n", call.overhead)
	flush(w)
}

func printTables(list []tableCost) {
	w := newTable("table\tentries\tmemory MB\tbuild\tone look-up")
	for _, t := range list {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%v\t%v\n", t.name, t.entries, t.heapMB, t.build.Round(time.Microsecond), t.lookup)
	}
	flush(w)
}

func printStart(s startCost) {
	w := newTable("whole configuration\t")
	fmt.Fprintf(w, "bytes\t%d\n", s.bytes)
	fmt.Fprintf(w, "decode and parse\t%v\n", s.decode.Round(time.Millisecond))
	fmt.Fprintf(w, "put in force\t%v\n", s.apply.Round(time.Millisecond))
	fmt.Fprintf(w, "memory MB\t%.1f\n", s.heapMB)
	flush(w)
}

// callCores returns the cores that one host uses for its messages: half of the
// cost of both sides. Pings go to random hosts, so each call is counted with a
// new connection.
func callCores(call callCost, u usage) float64 {
	return (u.sent + u.received) / 2 * call.newConnection.Seconds()
}

// callBytes returns the bytes per second of all messages, both ways.
func callBytes(call callCost, u usage) float64 {
	return u.sentBytes + u.receivedBytes + (u.sent+u.received)*call.overhead
}

// startCores returns the mean cores that the restarts of one host use.
func startCores(size deploymentSize, s startCost) float64 {
	perDay := float64(size.Restarts) / float64(size.Hosts)
	return perDay * (s.decode + s.apply).Seconds() / secondsPerDay
}

func printRoles(size deploymentSize, call callCost, u usage, tables []tableCost, start startCost, ledger ledgerCost) {
	var memory float64
	w := newTable("role\tstate\tmessages/s\tprocessor % of a core\tmemory MB\tbytes/s")
	row := func(role, state string, messages, cores, mb, bytes float64) {
		memory += mb
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%.3f\t%.1f\t%.0f\n", role, state, messages, cores*100, mb, bytes)
	}
	row("control core", fmt.Sprintf("%d services (%d fronted), %d targets, %d hosts", size.Services, u.entryServices, size.Targets, size.Hosts), 0, u.cores, u.heapMB, 0)
	row("membership, evidence, revision", "messages between hosts", u.sent+u.received, callCores(call, u), 0, callBytes(call, u))
	row("probing", "one host of the entry set probes a target", u.probes, u.probes*call.openConnection.Seconds()/2, 0, 0)
	row("configuration at a restart", fmt.Sprintf("%.1f restarts a day", float64(size.Restarts)/float64(size.Hosts)),
		0, startCores(size, start), 0, float64(start.bytes)*float64(size.Restarts)/float64(size.Hosts)/secondsPerDay)
	for _, t := range tables {
		row(t.name, fmt.Sprintf("%d entries", t.entries), 0, 0, t.heapMB, 0)
	}
	row("request ids", fmt.Sprintf("%d ids, %.0f%% of requests", ledger.entries, nonIdempotentShare*100),
		0, float64(ledger.entries)/600*ledger.perID.Seconds(), ledger.heapMB, 0)
	flush(w)

	cores := u.cores + callCores(call, u) + u.probes*call.openConnection.Seconds()/2 + startCores(size, start)
	w = newTable("control of one host\tmeasured\tlimit\tmargin")
	limit := func(name string, value, limit float64, unit string) {
		verdict := fmt.Sprintf("%.1f times under", limit/value)
		if value > limit {
			verdict = fmt.Sprintf("%.1f times OVER", value/limit)
		}
		fmt.Fprintf(w, "%s\t%.3g %s\t%.3g %s\t%s\n", name, value, unit, limit, unit, verdict)
	}
	limit("processor", cores*100, limitCores*100, "% of a core")
	limit("memory", memory, limitMemoryMB, "MB")
	limit("network", callBytes(call, u), limitBytesPerSec, "bytes/s")
	flush(w)
	fmt.Printf("longest step of the control thread: %v\n\n", u.longestStep.Round(10*time.Microsecond))
}

func printStore(size deploymentSize, u usage) {
	hosts := float64(size.Hosts)
	restarts := float64(size.Restarts) / secondsPerDay
	w := newTable("platform use of the whole fleet\toperations/s\tlimit")
	fmt.Fprintf(w, "reads of the table's revision\t%.1f\t%d reads/s in all\n", u.reads*hosts, limitReads)
	fmt.Fprintf(w, "reads of the host list\t%.1f\t\n", u.hostLists*hosts)
	fmt.Fprintf(w, "restarts that load the configuration\t%.3f\t\n", restarts)
	fmt.Fprintf(w, "changes of configuration (4 puts each)\t%.3f\t%d writes/s in all\n", float64(size.Changes)/secondsPerDay, limitWrites)
	flush(w)
}

func printScenario(sc scenario, call callCost, u usage) {
	fmt.Printf("  %-24s %.2f%% of a core, %.0f bytes/s, %.1f messages/s, %.1f store reads/s of the fleet, %.2f publications/s, longest step %v\n",
		sc.name, (u.cores+callCores(call, u))*100, callBytes(call, u), u.sent+u.received,
		u.reads*float64(designSize().Hosts), u.publications, u.longestStep.Round(10*time.Microsecond))
}
