// The streaming answers of a model worker, with their faults.

package platform

import (
	"fmt"
	"strings"
	"time"
)

// surplus sends one more answer to a request, after its whole answer or in
// the place of the next one's.
func (w *Worker) surplus(reply ResponseWriter, fault Fault, id string) {
	bytes := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.again\r\nContent-Length: 5\r\n\r\nagain", HeaderID, id, HeaderSeal, w.ID))
	switch fault {
	case FaultExtra:
		reply.WriteRaw(bytes)
	case FaultLateExtra:
		reply.WriteRawBeforeNext(bytes)
	}
}

// stream runs a turn on the engine.
func (w *Worker) stream(asked *Request, reply ResponseWriter, arrival *Arrival, until time.Duration, note func(func(*Arrival)), refuse func(int, ...[2]string)) {
	job := jobOf(asked, until)
	after := int(arrival.After)
	job.want = max(0, job.want-after*w.Spec.Engine.TokensPerEvent)
	if !w.engine.submit(job, w.Spec.QueueSize) {
		refuse(503, [2]string{HeaderNotRun, "1"})
		return
	}
	fault, fraction, serial := w.draw()
	seal := w.seal(serial, arrival.ID)
	header := append(w.header(arrival.ID), [2]string{HeaderSeal, seal}, [2]string{"Content-Type", "text/event-stream"}, [2]string{HeaderWeights, "1"})
	breakAt := -1
	if fault == FaultLostReset || fault == FaultLostSilent || fault == FaultCut || fault == FaultGarbled {
		breakAt = int(fraction * float64(job.want/w.Spec.Engine.TokensPerEvent))
	}
	sent, begun := 0, false
	for {
		news := job.bell.Next()
		out, ended := w.engine.progress(job)
		if ended == jobExpired && out == 0 || ended == jobGone && out == 0 {
			refuse(503, [2]string{HeaderNotRun, "1"})
			return
		}
		if out > 0 && !begun {
			begun = true
			note(func(a *Arrival) { a.Ran, a.Began, a.Status, a.Seal = true, w.Clock.Now(), 200, seal })
		}
		for events := eventsOf(out, job.want, w.Spec.Engine.TokensPerEvent); sent < events; sent++ {
			if sent == breakAt {
				w.engine.remove(job)
				note(func(a *Arrival) { a.Broke, a.Ended = true, w.Clock.Now() })
				w.lose(asked, reply, fault, sent > 0)
				return
			}
			if sent == 0 && reply.WriteHeader(200, header, -1) != nil {
				w.left(job, note)
				return
			}
			data := eventData(seal, after+sent+1, w.Spec.Engine.EventBytes)
			note(func(a *Arrival) { a.Events = append(a.Events, Event{int64(after + sent + 1), data, w.Clock.Now()}) })
			if reply.Write([]byte(fmt.Sprintf("id: %d\ndata: %s\n\n", after+sent+1, data))) != nil {
				w.left(job, note)
				return
			}
		}
		switch ended {
		case jobWhole:
			if sent == 0 && reply.WriteHeader(200, header, -1) != nil {
				w.left(job, note)
				return
			}
			note(func(a *Arrival) { a.Whole, a.Ended = true, w.Clock.Now() })
			if reply.Finish() == nil {
				w.surplus(reply, fault, arrival.ID)
			}
			return
		case jobGone:
			w.left(job, note)
			return
		case jobExpired:
			note(func(a *Arrival) { a.Broke, a.Ended = true, w.Clock.Now() })
			reply.Abort(false)
			return
		}
		news.Wait(-1)
	}
}

func (w *Worker) left(job *job, note func(func(*Arrival))) {
	w.engine.remove(job)
	over := w.ended()
	note(func(a *Arrival) { a.Left, a.Broke, a.Ended = !over, over, w.Clock.Now() })
}

func (w *Worker) lose(asked *Request, reply ResponseWriter, fault Fault, begun bool) {
	switch fault {
	case FaultLostSilent:
		asked.ClientClosed.Wait(time.Minute)
	case FaultGarbled:
		reply.WriteRaw([]byte("\x00zz garbled\r\n"))
	}
	reply.Abort(fault == FaultLostReset || !begun)
}

// eventsOf is how many events the tokens so far fill.
func eventsOf(out, want, stride int) int {
	if out >= want {
		return (want + stride - 1) / stride
	}
	return out / stride
}

// eventData is one event's data: no two runs say the same.
func eventData(seal string, place, bytes int) string {
	word := fmt.Sprintf("%s-%d ", seal, place)
	return strings.TrimSpace(strings.Repeat(word, bytes/len(word)+1)[:max(bytes, len(word))])
}
