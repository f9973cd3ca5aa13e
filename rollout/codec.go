package rollout

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

type (
	// wireReport is the CBOR form of a Report.
	wireReport struct {
		_           struct{} `cbor:",toarray"`
		Instance    string
		Incarnation uint64
		Orders      []wireEvidence
	}
	wireEvidence struct {
		_          struct{} `cbor:",toarray"`
		Pool       string
		Revision   uint64
		All        uint64
		New        uint64
		OldRunning int
		NewRunning int
		Moved      bool
		Cells      []wireCell
	}
	wireCell struct {
		_       struct{} `cbor:",toarray"`
		Route   string
		Target  string
		Answers uint64
		Failed  uint64
		// First and Pace omit trailing zeros.
		First []uint64
		Pace  []uint64
	}
)

// Report is what one incarnation of an instance has counted.
type Report struct {
	Run      InstanceRun
	Evidence []Evidence
}

// EncodeReport encodes a report for another instance.
func EncodeReport(report Report) ([]byte, error) {
	wire := wireReport{Instance: string(report.Run.Instance), Incarnation: report.Run.Incarnation}
	for _, evidence := range report.Evidence {
		entry := wireEvidence{
			Pool: string(evidence.Pool), Revision: evidence.Revision, All: evidence.Sent.All, New: evidence.Sent.New,
			OldRunning: evidence.OldRunning, NewRunning: evidence.NewRunning, Moved: evidence.OldTrafficStopped,
		}
		for name, cell := range evidence.Cells {
			entry.Cells = append(entry.Cells, wireCell{
				Route: string(name.Route), Target: string(name.Target), Answers: cell.Answers, Failed: cell.Failed,
				First: trimTrailingZeros(cell.FirstAnswerTimes[:]), Pace: trimTrailingZeros(cell.TokenTimes[:]),
			})
		}
		wire.Orders = append(wire.Orders, entry)
	}
	content, err := cbor.Marshal(wire)
	return content, eris.Wrap(err, "encode rollout report")
}

func trimTrailingZeros(counts []uint64) []uint64 {
	for len(counts) > 0 && counts[len(counts)-1] == 0 {
		counts = counts[:len(counts)-1]
	}
	return counts
}

// DecodeReport decodes a report.
func DecodeReport(content []byte) (Report, error) {
	var wire wireReport
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return Report{}, eris.Wrap(err, "decode rollout report")
	}
	if wire.Instance == "" {
		return Report{}, eris.New("decode rollout report: instance is missing")
	}
	report := Report{Run: InstanceRun{Instance: shelfshelf.InstanceID(wire.Instance), Incarnation: wire.Incarnation}}
	for _, entry := range wire.Orders {
		evidence := Evidence{
			Pool: shelfshelf.PoolName(entry.Pool), Revision: entry.Revision, Sent: SentCounts{All: entry.All, New: entry.New},
			OldRunning: entry.OldRunning, NewRunning: entry.NewRunning, OldTrafficStopped: entry.Moved, Cells: make(map[CellKey]*ResultCounts, len(entry.Cells)),
		}
		for _, counted := range entry.Cells {
			cell := &ResultCounts{Answers: counted.Answers, Failed: counted.Failed}
			copy(cell.FirstAnswerTimes[:], counted.First)
			copy(cell.TokenTimes[:], counted.Pace)
			name := CellKey{Route: shelfshelf.RouteName(counted.Route), Target: shelfshelf.TargetName(counted.Target)}
			evidence.Cells[name] = cell
		}
		report.Evidence = append(report.Evidence, evidence)
	}
	return report, nil
}
