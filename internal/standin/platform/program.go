// Programs as plans: lines of turns, tools between them, helpers and runaways,
// drawn from a seed before anything is sent. Only the ids of tries are drawn
// later.

package platform

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// ToolPlan is one call of a tool.
type ToolPlan struct {
	Class  *Class
	Target string
	Body   []byte
}

// TurnPlan is one turn: its new input, and what follows its answer.
type TurnPlan struct {
	Input   []byte
	Prompt  int // tokens, with everything before it
	Most    int64
	Parts   string
	Think   time.Duration
	Tools   []ToolPlan
	Helpers []*LinePlan
}

// LinePlan is a line of turns with a session of its own.
type LinePlan struct {
	Session string
	Turns   []*TurnPlan
}

// ProgramPlan is a whole program.
type ProgramPlan struct {
	ID      string
	Class   *Class
	Host    string
	Target  string
	Zone    string
	Client  string
	Line    *LinePlan
	Budget  int64
	Runaway bool
	// Ideal is what it needs on idle workers, Aim when it ought to be over.
	Ideal time.Duration
	Aim   time.Duration
	Model string
}

// Generator draws programs.
type Generator struct {
	Site  *Site
	Words *Words
	Rng   *rand.Rand
}

const letters = "abcdefghijklmnopqrstuvwxyz ,."

func (g *Generator) text(bytes int) []byte {
	text := make([]byte, bytes)
	for place := range text {
		text[place] = letters[g.Rng.IntN(len(letters))]
	}
	return text
}

func (g *Generator) engine() *EngineShape {
	for _, service := range g.Site.Services {
		if service.Engine != nil {
			return service.Engine
		}
	}
	return &EngineShape{Step: time.Millisecond, PromptPerMs: 1000, Stride: 1}
}

const wayOfTurn = 31 * time.Millisecond

// Program draws one program of a class.
func (g *Generator) Program(class *Class, zone string, client int) *ProgramPlan {
	p := &ProgramPlan{ID: fmt.Sprintf("%06x", g.Rng.Uint32()>>4), Class: class, Host: g.Words.Hosts[class.Name], Zone: zone,
		Client: fmt.Sprintf("%s-%d", zone, client), Model: g.Words.Model, Runaway: g.Rng.Float64() < class.Runaway}
	p.Target = g.Words.Prefixes[class.Name] + fmt.Sprintf("%x", g.Rng.IntN(64))
	topic := g.Rng.IntN(max(1, class.Topics))
	shared := rand.New(rand.NewPCG(uint64(topic), 7))
	tokens := int(class.Shared.Value(shared))
	parts := fmt.Sprintf("%08x:%d", shared.Uint32(), tokens)
	p.Line, p.Ideal = g.line(p, int(max(1, class.Turns.Value(g.Rng))), tokens, parts, true)
	p.Aim = time.Duration(class.AimX*float64(p.Ideal)) + class.Aim
	p.Budget = p.Line.Most() * 11 / 10
	return p
}

func (g *Generator) line(p *ProgramPlan, turns, tokens int, parts string, helpers bool) (*LinePlan, time.Duration) {
	engine, line, ideal := g.engine(), &LinePlan{Session: fmt.Sprintf("%06x", g.Rng.Uint32()>>4)}, time.Duration(0)
	for turn := range turns {
		own := int(max(16, p.Class.Prompt.Value(g.Rng)))
		tokens += own
		parts += fmt.Sprintf(",%08x:%d", g.Rng.Uint32(), own)
		events := int(max(2, p.Class.Events.Value(g.Rng)))
		plan := &TurnPlan{Input: g.text(int(max(1, p.Class.Body.Value(g.Rng)*float64(own)/max(1, p.Class.Prompt.Mean)))), Prompt: tokens,
			Most: int64(events * engine.Stride), Parts: parts, Think: time.Duration(p.Class.Think.Value(g.Rng)) * time.Millisecond}
		tokens += int(plan.Most)
		ideal += wayOfTurn + time.Duration(float64(own)/engine.PromptPerMs)*time.Millisecond + time.Duration(plan.Most)*(engine.Step+engine.StepPerSlot) + plan.Think
		if turn < turns-1 {
			if helpers && g.Rng.Float64() < p.Class.Fan {
				slowest := time.Duration(0)
				for range int(max(1, p.Class.Width.Value(g.Rng))) {
					helper, needs := g.line(p, 2, tokens, parts, false)
					plan.Helpers = append(plan.Helpers, helper)
					slowest = max(slowest, needs)
				}
				ideal += slowest
			} else {
				ideal += g.tools(p, plan)
			}
		}
		line.Turns = append(line.Turns, plan)
	}
	return line, ideal
}

// tools draws the calls after a turn; it gives the slowest one's time.
func (g *Generator) tools(p *ProgramPlan, plan *TurnPlan) (slowest time.Duration) {
	for _, use := range p.Class.Tools {
		for range max(1, use.Times) {
			class := g.Site.Class(use.Class)
			if class == nil || g.Rng.Float64() >= use.Share {
				continue
			}
			plan.Tools = append(plan.Tools, g.Tool(class))
			slowest = max(slowest, wayOfTurn+time.Duration(class.Work.Mean)*time.Millisecond)
		}
	}
	return slowest
}

// Tool draws one call.
func (g *Generator) Tool(class *Class) ToolPlan {
	t := ToolPlan{Class: class, Target: g.Words.Prefixes[class.Name] + fmt.Sprintf("%x?n=%d", g.Rng.IntN(4000), g.Rng.IntN(100))}
	if class.Body.Mean > 0 {
		t.Body = g.text(int(max(1, class.Body.Value(g.Rng))))
	}
	return t
}

// HelperAgain draws one more helper for a program that runs away.
func (g *Generator) HelperAgain(p *ProgramPlan, after *TurnPlan) *LinePlan {
	line, _ := g.line(p, 2, after.Prompt+int(after.Most), after.Parts, false)
	return line
}

// Most is what all turns of a line can put out, those of helpers too.
func (l *LinePlan) Most() (tokens int64) {
	for _, turn := range l.Turns {
		tokens += turn.Most
		for _, helper := range turn.Helpers {
			tokens += helper.Most()
		}
	}
	return tokens
}

// Describe says a program in a line, for logs.
func (p *ProgramPlan) Describe() string {
	var kinds []string
	for _, turn := range p.Line.Turns {
		kinds = append(kinds, fmt.Sprintf("%d tokens+%d tools+%d helpers", turn.Most, len(turn.Tools), len(turn.Helpers)))
	}
	return p.Class.Name + " " + p.ID + ": " + strings.Join(kinds, "; ")
}
