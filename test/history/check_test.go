package history

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/shelfshelf/shelfshelf"
)

// check returns everything in the history that must not be.
func (s *scenario) check() []string {
	broken := append([]string(nil), s.broken...)
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	for id, count := range s.world.runs {
		if count > 1 {
			add("request %s ran %d times", id, count)
		}
	}
	for key, count := range s.world.keyRuns {
		if count > 1 {
			add("key %s ran %d times", key, count)
		}
	}
	broken = append(broken, s.world.lateCalls...)
	for _, record := range s.history {
		switch record.outcome {
		case shelfshelf.OutcomeNotRun.String():
			if s.world.runs[record.id] > 0 {
				add("request %s was told not run and ran", record.id)
			}
		case shelfshelf.OutcomeDone.String():
			if problem := s.wrongAnswer(record); problem != "" {
				add("request %s: %s", record.id, problem)
			}
		}
	}
	if !porcupine.CheckOperations(claimModel.ToModel(), s.operations()) {
		add("the claims' history is not linearizable")
	}
	return broken
}

// wrongAnswer compares an answer with what a target made; a stored answer of a
// key is that of the attempt that ran.
func (s *scenario) wrongAnswer(record told) string {
	text := record.answer
	if record.key == "" {
		var whole struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(record.answer), &whole); err != nil || len(whole.Choices) != 1 {
			return "unreadable answer " + record.answer
		}
		text = whole.Choices[0].Text
	}
	target, id, found := strings.Cut(text, " ran ")
	if !found || s.world.ranOn[shelfshelf.RequestID(id)] != shelfshelf.TargetName(target) {
		return fmt.Sprintf("answer %q was made by no target", text)
	}
	if record.key == "" && shelfshelf.RequestID(id) != record.id {
		return fmt.Sprintf("answer %q belongs to another request", text)
	}
	return ""
}

// claimOutput is what a caller was told of a keyed call.
type claimOutput struct {
	outcome string
	answer  string
}

// claimState is what became of a key: not run, run with an answer that nobody
// has seen yet, or run with an answer.
type claimState struct {
	ran    bool
	answer string
}

// claimModel says what callers of one key may be told, in some order of their
// calls: once the call has run it has one answer for ever.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, operation := range history {
			key := operation.Input.(string)
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{claimState{}} },
	Step: func(state, _, output any) []any {
		before := state.(claimState)
		told := output.(claimOutput)
		switch told.outcome {
		case shelfshelf.OutcomeDone.String():
			if before.answer != "" && before.answer != told.answer {
				return nil
			}
			return []any{claimState{ran: true, answer: told.answer}}
		case shelfshelf.OutcomeNotRun.String():
			return []any{before}
		}
		if before.ran {
			return []any{before}
		}
		return []any{before, claimState{ran: true}}
	},
}

// operations are the keyed calls. One whose caller lost its instance may take
// effect at any later time.
func (s *scenario) operations() []porcupine.Operation {
	var operations []porcupine.Operation
	for index, record := range s.history {
		if record.key == "" || record.outcome == "" && !record.lost {
			continue
		}
		ended := record.ended
		if record.lost {
			ended = s.world.clock.Now().Add(time.Hour)
		}
		operations = append(operations, porcupine.Operation{
			ClientId: index,
			Input:    record.key,
			Call:     record.began.UnixNano(),
			Output:   claimOutput{outcome: record.outcome, answer: record.answer},
			Return:   ended.UnixNano(),
		})
	}
	return operations
}
