package waitreport

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// endedMessage is the message of the log line that is written when a request has ended.
	endedMessage = "A request has ended."
	// clockLayout is the layout of the time of a log line.
	clockLayout = "15:04:05.000"
	// retryWindow is how long after a refusal a request with the same fingerprint counts as its retry.
	retryWindow = 10 * time.Second
	// maxLineBytes bounds a line of the log.
	maxLineBytes = 1 << 20
	// heldShare is the share of the goal after which a refusal counts as one that was held.
	heldShare = 0.125
)

// Attempt is one request of a caller as an instance has logged it.
type Attempt struct {
	// Arrived is the time of day at which it arrived.
	Arrived     time.Time
	Fingerprint string
	Route       string
	Customer    string
	Tier        int
	Status      int
	Result      string
	Waited      time.Duration
	Took        time.Duration
	First       time.Duration
	Goal        time.Duration
	Pause       time.Duration
	PauseGoal   time.Duration
	// UnaskedWithRoom is how many targets were believed to have room and were not asked.
	UnaskedWithRoom int
}

// GroupBy returns the group of an attempt; its time is relative to the start of the log.
type GroupBy func(a Attempt, since time.Duration) string

// Groupings maps the names of groupings to their functions.
var Groupings = map[string]GroupBy{
	"route":    func(a Attempt, _ time.Duration) string { return a.Route },
	"tier":     func(a Attempt, _ time.Duration) string { return strconv.Itoa(a.Tier) },
	"customer": func(a Attempt, _ time.Duration) string { return a.Customer },
	"second":   func(_ Attempt, since time.Duration) string { return fmt.Sprintf("%3d", int(since.Seconds())) },
	"tier-second": func(a Attempt, since time.Duration) string {
		return fmt.Sprintf("tier %d, second %3d", a.Tier, int(since.Seconds()))
	},
}

// Row is the summary of one group. A request and its retry count as one caller.
type Row struct {
	Group string
	// Callers had InTime, Late, Refused and Failed as their outcome, counted from the first attempt.
	Callers, InTime, Late, Refused, Failed int
	// RefusedAttempts is the number of refused attempts, Held of those that had waited for over an eighth of the goal.
	RefusedAttempts, Held int
	// Returned callers had come back after a refusal, and ReturnedServed of them were served.
	Returned, ReturnedServed int
	// RefusedAfter is the median wait of the refused attempts.
	RefusedAfter time.Duration
	waits        []time.Duration
}

// Read reads the attempts of a log. A line may have a prefix before its JSON object; other lines are skipped.
func Read(source io.Reader) ([]Attempt, error) {
	var attempts []Attempt
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		line := scanner.Bytes()
		begin := bytes.IndexByte(line, '{')
		if begin < 0 || !bytes.Contains(line, []byte(endedMessage)) {
			continue
		}
		attempt, err := decode(line[begin:])
		if err != nil {
			return nil, eris.Wrapf(err, "line %d", number)
		}
		attempts = append(attempts, attempt)
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "read the log")
	}
	slices.SortStableFunc(attempts, func(a, b Attempt) int { return a.Arrived.Compare(b.Arrived) })
	return attempts, nil
}

func decode(line []byte) (Attempt, error) {
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err != nil {
		return Attempt{}, eris.Wrap(err, "decode a log line")
	}
	text := func(name string) string {
		value, _ := fields[name].(string)
		return value
	}
	number := func(name string) int {
		value, _ := fields[name].(float64)
		return int(value)
	}
	var parseErr error
	duration := func(name string) time.Duration {
		value := text(name)
		if value == "" {
			return 0
		}
		d, err := time.ParseDuration(value)
		parseErr = cmp.Or(parseErr, err)
		return d
	}
	ended, err := time.Parse(clockLayout, text("time"))
	if err != nil {
		return Attempt{}, eris.Wrap(err, "field time")
	}
	attempt := Attempt{
		Fingerprint: fmt.Sprint(fields["fingerprint"]), Route: text("route"), Customer: text("customer"), Tier: number("tier"),
		Status: number("status"), Result: text("result"), Waited: duration("waited"), Took: duration("took"), First: duration("first"),
		Goal: duration("goal"), Pause: duration("longestPause"), PauseGoal: duration("pauseGoal"), UnaskedWithRoom: number("unaskedWithRoom"),
	}
	attempt.Arrived = ended.Add(-attempt.Took)
	if parseErr != nil {
		return Attempt{}, eris.Wrap(parseErr, "decode a duration")
	}
	return attempt, nil
}

// caller is a request of a caller with its retries.
type caller struct {
	first, last Attempt
	returned    bool
}

// Summarize groups the callers of a log, by the first attempt of each.
func Summarize(attempts []Attempt, by GroupBy) []Row {
	if len(attempts) == 0 {
		return nil
	}
	rows := make(map[string]*Row)
	start := attempts[0].Arrived
	rowOf := func(a Attempt) *Row {
		group := by(a, a.Arrived.Sub(start))
		if rows[group] == nil {
			rows[group] = &Row{Group: group}
		}
		return rows[group]
	}
	for _, a := range attempts {
		if a.refused() {
			rowOf(a).addRefusal(a)
		}
	}
	for _, c := range joinRetries(attempts) {
		rowOf(c.first).addCaller(c)
	}
	list := make([]Row, 0, len(rows))
	for _, row := range rows {
		if len(row.waits) > 0 {
			slices.Sort(row.waits)
			row.RefusedAfter = row.waits[len(row.waits)/2]
		}
		list = append(list, *row)
	}
	slices.SortFunc(list, func(a, b Row) int { return cmp.Compare(a.Group, b.Group) })
	return list
}

// joinRetries joins attempts with the same fingerprint, of which the earlier one was refused, into one caller.
func joinRetries(attempts []Attempt) []*caller {
	var callers []*caller
	open := make(map[string]*caller)
	for _, a := range attempts {
		c := open[a.Fingerprint]
		if c != nil && a.Fingerprint != "<nil>" && c.last.refused() && a.Arrived.Sub(c.last.Arrived) < retryWindow {
			c.last, c.returned = a, true
			continue
		}
		c = &caller{first: a, last: a}
		open[a.Fingerprint] = c
		callers = append(callers, c)
	}
	return callers
}

func (a Attempt) refused() bool {
	return a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
}

// inTime reports whether the caller's answer began within the goal, counted from its first attempt, and had no longer
// pause than its route allows.
func (c *caller) inTime() bool {
	if c.first.Goal == 0 {
		return true
	}
	began := c.last.Arrived.Add(c.last.First).Sub(c.first.Arrived)
	return began <= c.first.Goal && (c.last.PauseGoal == 0 || c.last.Pause <= c.last.PauseGoal)
}

func (r *Row) addRefusal(a Attempt) {
	r.RefusedAttempts++
	held := max(a.Waited, a.Took)
	r.waits = append(r.waits, held)
	if a.Goal > 0 && held > time.Duration(heldShare*float64(a.Goal)) {
		r.Held++
	}
}

func (r *Row) addCaller(c *caller) {
	r.Callers++
	served := c.last.Status == http.StatusOK && c.last.Result == "answered"
	switch {
	case served && c.inTime():
		r.InTime++
	case served:
		r.Late++
	case c.last.refused():
		r.Refused++
	default:
		r.Failed++
	}
	if c.returned {
		r.Returned++
		if served {
			r.ReturnedServed++
		}
	}
}

// WriteTable writes rows as a table.
func WriteTable(out io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "group\tcallers\tin time\tlate\trefused\tfailed\trefused attempts\theld\tmedian wait\treturned\tserved then\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%d\t%d\t\n", r.Group, r.Callers, r.InTime, r.Late, r.Refused, r.Failed,
			r.RefusedAttempts, r.Held, r.RefusedAfter.Round(time.Millisecond), r.Returned, r.ReturnedServed)
	}
	return eris.Wrap(table.Flush(), "write the table")
}
