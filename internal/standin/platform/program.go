package platform

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// ToolCallPlan is one planned call of a tool.
type ToolCallPlan struct {
	Class  *RequestClass
	Target string
	Body   []byte
}

// TurnPlan is one planned turn: its new input, and what follows its answer.
type TurnPlan struct {
	Input        []byte
	PromptTokens int // including all earlier turns
	MaxTokens    int64
	PromptParts  string
	ThinkTime    time.Duration
	Tools        []ToolCallPlan
	Subagents    []*SessionPlan
}

// SessionPlan is a sequence of turns in a session of its own.
type SessionPlan struct {
	SessionID string
	Turns     []*TurnPlan
}

// ProgramPlan is a whole program: the turns of its main session, the tool calls between them
// and the sessions of subagents. A plan is drawn from a seed before anything is sent; only
// the ids of tries, and the further subagents of runaway programs, are drawn later.
type ProgramPlan struct {
	ID          string
	Class       *RequestClass
	Host        string
	Target      string
	Zone        string
	Client      string
	MainSession *SessionPlan
	Budget      int64
	Runaway     bool
	// IdealTime is the program's duration on idle workers, TargetTime the one it should keep.
	IdealTime  time.Duration
	TargetTime time.Duration
	Model      string
}

// ProgramGenerator draws random programs for a deployment.
type ProgramGenerator struct {
	Deployment *Deployment
	Names      *Names
	Rng        *rand.Rand
}

const inputAlphabet = "abcdefghijklmnopqrstuvwxyz ,."

func (g *ProgramGenerator) randomText(length int) []byte {
	text := make([]byte, length)
	for index := range text {
		text[index] = inputAlphabet[g.Rng.IntN(len(inputAlphabet))]
	}
	return text
}

// engine returns the engine of the deployment's model service, or a fast one if there is none.
func (g *ProgramGenerator) engine() *EngineSpec {
	for _, service := range g.Deployment.Services {
		if service.Engine != nil {
			return service.Engine
		}
	}
	return &EngineSpec{StepTime: time.Millisecond, PromptTokensPerMs: 1000, TokensPerEvent: 1}
}

// turnOverhead is the time of a turn or tool call besides the worker's, for the ideal time.
const turnOverhead = 31 * time.Millisecond

// Program draws one program of a class. Programs of the same topic share the first part of
// their prompts; the budget is a tenth above what all turns may put out.
func (g *ProgramGenerator) Program(class *RequestClass, zone string, client int) *ProgramPlan {
	p := &ProgramPlan{ID: fmt.Sprintf("%06x", g.Rng.Uint32()>>4), Class: class, Host: g.Names.Hosts[class.Name], Zone: zone,
		Client: fmt.Sprintf("%s-%d", zone, client), Model: g.Names.Model, Runaway: g.Rng.Float64() < class.RunawayProbability}
	p.Target = g.Names.Prefixes[class.Name] + fmt.Sprintf("%x", g.Rng.IntN(64))
	topic := g.Rng.IntN(max(1, class.Topics))
	shared := rand.New(rand.NewPCG(uint64(topic), 7))
	tokens := int(class.SharedPromptTokens.Sample(shared))
	parts := fmt.Sprintf("%08x:%d", shared.Uint32(), tokens)
	p.MainSession, p.IdealTime = g.newSession(p, int(max(1, class.Turns.Sample(g.Rng))), tokens, parts, true)
	p.TargetTime = time.Duration(class.TargetFactor*float64(p.IdealTime)) + class.TargetLatency
	p.Budget = p.MainSession.TotalMaxTokens() * 11 / 10
	return p
}

// newSession draws a session that continues a prompt with the given tokens and parts, and
// returns its ideal time too.
func (g *ProgramGenerator) newSession(p *ProgramPlan, turns, tokens int, parts string, withSubagents bool) (*SessionPlan, time.Duration) {
	engine, session, ideal := g.engine(), &SessionPlan{SessionID: fmt.Sprintf("%06x", g.Rng.Uint32()>>4)}, time.Duration(0)
	for turn := range turns {
		newTokens := int(max(16, p.Class.PromptTokens.Sample(g.Rng)))
		tokens += newTokens
		parts += fmt.Sprintf(",%08x:%d", g.Rng.Uint32(), newTokens)
		events := int(max(2, p.Class.Events.Sample(g.Rng)))
		plan := &TurnPlan{Input: g.randomText(int(max(1, p.Class.BodyBytes.Sample(g.Rng)*float64(newTokens)/max(1, p.Class.PromptTokens.Mean)))), PromptTokens: tokens,
			MaxTokens: int64(events * engine.TokensPerEvent), PromptParts: parts, ThinkTime: time.Duration(p.Class.ThinkMs.Sample(g.Rng)) * time.Millisecond}
		tokens += int(plan.MaxTokens)
		ideal += turnOverhead + time.Duration(float64(newTokens)/engine.PromptTokensPerMs)*time.Millisecond + time.Duration(plan.MaxTokens)*(engine.StepTime+engine.StepTimePerJob) + plan.ThinkTime
		if turn < turns-1 {
			if withSubagents && g.Rng.Float64() < p.Class.SubagentProbability {
				slowest := time.Duration(0)
				for range int(max(1, p.Class.SubagentCount.Sample(g.Rng))) {
					subagent, duration := g.newSession(p, 2, tokens, parts, false)
					plan.Subagents = append(plan.Subagents, subagent)
					slowest = max(slowest, duration)
				}
				ideal += slowest
			} else {
				ideal += g.addToolCalls(p, plan)
			}
		}
		session.Turns = append(session.Turns, plan)
	}
	return session, ideal
}

// addToolCalls draws the tool calls after a turn and returns the time of the slowest.
func (g *ProgramGenerator) addToolCalls(p *ProgramPlan, plan *TurnPlan) (slowest time.Duration) {
	for _, use := range p.Class.Tools {
		for range max(1, use.MaxCalls) {
			class := g.Deployment.Class(use.Class)
			if class == nil || g.Rng.Float64() >= use.Probability {
				continue
			}
			plan.Tools = append(plan.Tools, g.ToolCall(class))
			slowest = max(slowest, turnOverhead+time.Duration(class.WorkMs.Mean)*time.Millisecond)
		}
	}
	return slowest
}

// ToolCall draws one tool call.
func (g *ProgramGenerator) ToolCall(class *RequestClass) ToolCallPlan {
	t := ToolCallPlan{Class: class, Target: g.Names.Prefixes[class.Name] + fmt.Sprintf("%x?n=%d", g.Rng.IntN(4000), g.Rng.IntN(100))}
	if class.BodyBytes.Mean > 0 {
		t.Body = g.randomText(int(max(1, class.BodyBytes.Sample(g.Rng))))
	}
	return t
}

// RunawaySubagent draws one more subagent for a runaway program.
func (g *ProgramGenerator) RunawaySubagent(p *ProgramPlan, after *TurnPlan) *SessionPlan {
	session, _ := g.newSession(p, 2, after.PromptTokens+int(after.MaxTokens), after.PromptParts, false)
	return session
}

// TotalMaxTokens returns how many tokens all turns of a session and its subagents may put out.
func (l *SessionPlan) TotalMaxTokens() (tokens int64) {
	for _, turn := range l.Turns {
		tokens += turn.MaxTokens
		for _, subagent := range turn.Subagents {
			tokens += subagent.TotalMaxTokens()
		}
	}
	return tokens
}

// Describe returns a one-line description for logs.
func (p *ProgramPlan) Describe() string {
	var turns []string
	for _, turn := range p.MainSession.Turns {
		turns = append(turns, fmt.Sprintf("%d tokens+%d tool calls+%d subagents", turn.MaxTokens, len(turn.Tools), len(turn.Subagents)))
	}
	return p.Class.Name + " " + p.ID + ": " + strings.Join(turns, "; ")
}
