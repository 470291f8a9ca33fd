package claims

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/wire"
)

// proposer is one attempt's state in the model run of the protocol.
type proposer struct {
	attempt  string
	ballot   wire.Ballot
	promises []wire.ClaimResponse
	accepts  map[int]struct{}
	value    string
	group    int
}

// model is a claim group whose members are replaced while proposers race.
type model struct {
	t         *rapid.T
	acceptors []*Acceptor
	members   []int
	number    uint64
	chosen    string
	ballots   uint64
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, members: []int{0, 1, 2}, number: 1}
	for range 3 {
		m.join()
	}
	m.configure("")
	return m
}

func (m *model) join() int {
	index := len(m.acceptors)
	m.acceptors = append(m.acceptors, NewAcceptor(fmt.Sprint("node-", index), "i"))
	return index
}

func (m *model) configure(staging string) {
	group := api.ClaimGroup{Staging: staging}
	for _, index := range m.members {
		group.Members = append(group.Members, api.ClaimMember{Node: fmt.Sprint("node-", index), Incarnation: "i"})
	}
	for _, acceptor := range m.acceptors {
		acceptor.Configure(0, m.number, group)
	}
}

// replace moves the group to a new member in place of one, as regroup does: seal
// the two others, merge, install at all, commit.
func (m *model) replace(out int) {
	var answers [][]wire.ClaimRecord
	for position, index := range m.members {
		if position == out {
			continue
		}
		response, err := m.acceptors[index].Seal(wire.SealRequest{Generation: m.number})
		if err != nil {
			m.t.Fatal(err)
		}
		answers = append(answers, response.Records)
	}
	m.members[out] = m.join()
	m.number++
	staging := fmt.Sprint("staging-", m.number)
	for _, index := range m.members {
		m.acceptors[index].Install(wire.InstallRequest{Staging: staging, Records: Merge(answers)})
	}
	m.configure(staging)
}

func (m *model) request(p *proposer) wire.ClaimRequest {
	return wire.ClaimRequest{Generation: m.number, Key: "key", Ballot: p.ballot, Attempt: p.value}
}

func (m *model) start(p *proposer) {
	m.ballots++
	*p = proposer{attempt: p.attempt, ballot: wire.Ballot{Number: m.ballots, Node: p.attempt}, group: int(m.number), accepts: make(map[int]struct{})}
}

// step sends one message of a proposer to one member and takes the answer.
func (m *model) step(p *proposer, position int) {
	if p.group != int(m.number) || p.ballot.Number == 0 {
		m.start(p)
	}
	acceptor := m.acceptors[m.members[position]]
	if p.value == "" {
		response, err := acceptor.Prepare(m.request(p))
		if err == nil && response.Granted {
			p.promises = append(p.promises, response)
		}
		if len(p.promises) == 2 {
			p.value = p.attempt
			if found := summarize(p.promises); found.attempt != "" {
				p.value = found.attempt
			}
		}
		return
	}
	response, err := acceptor.Accept(m.request(p))
	if err != nil || !response.Granted {
		m.start(p)
		return
	}
	p.accepts[position] = struct{}{}
	if len(p.accepts) < 2 {
		return
	}
	if m.chosen != "" && m.chosen != p.value {
		m.t.Fatalf("%s was chosen, then %s", m.chosen, p.value)
	}
	m.chosen = p.value
	m.start(p)
}

// TestOneAttemptIsChosen: proposers race message by message while members are
// lost and replaced; never two attempts are chosen for a key.
func TestOneAttemptIsChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		proposers := []*proposer{{attempt: "a"}, {attempt: "b"}, {attempt: "c"}}
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			position := rapid.IntRange(0, 2).Draw(t, "member")
			if rapid.IntRange(0, 19).Draw(t, "replace") == 0 {
				m.replace(position)
				continue
			}
			p := proposers[rapid.IntRange(0, 2).Draw(t, "proposer")]
			m.step(p, position)
		}
	})
}

// TestMemberThatRestartedIsNotBelieved: a member of another incarnation, or one
// that did not install the records, does not answer for the group.
func TestMemberThatRestartedIsNotBelieved(t *testing.T) {
	group := api.ClaimGroup{Members: []api.ClaimMember{{Node: "n", Incarnation: "old"}}}
	restarted := NewAcceptor("n", "new")
	restarted.Configure(0, 1, group)
	_, err := restarted.Prepare(wire.ClaimRequest{Generation: 1, Key: "k", Ballot: wire.Ballot{Number: 1}})
	assert.Assert(t, fault.IsCode(err, fault.CodeClaimsUnavailable), "%v", err)

	group = api.ClaimGroup{Members: []api.ClaimMember{{Node: "n", Incarnation: "new"}}, Staging: "never installed"}
	restarted.Configure(0, 2, group)
	_, err = restarted.Prepare(wire.ClaimRequest{Generation: 2, Key: "k", Ballot: wire.Ballot{Number: 1}})
	assert.Assert(t, fault.IsCode(err, fault.CodeClaimsUnavailable), "%v", err)
}

// TestSealedGenerationAnswersNoMore: after a seal a member votes no more.
func TestSealedGenerationAnswersNoMore(t *testing.T) {
	a := NewAcceptor("n", "i")
	a.Configure(0, 1, api.ClaimGroup{Members: []api.ClaimMember{{Node: "n", Incarnation: "i"}}})
	_, err := a.Seal(wire.SealRequest{Generation: 1})
	assert.NilError(t, err)
	_, err = a.Accept(wire.ClaimRequest{Generation: 1, Key: "k", Ballot: wire.Ballot{Number: 1}, Attempt: "a"})
	assert.Assert(t, fault.IsCode(err, fault.CodeClaimsUnavailable), "%v", err)
}
