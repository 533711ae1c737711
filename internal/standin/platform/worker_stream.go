package platform

import (
	"fmt"
	"strings"
	"time"
)

// sendExtraAnswer sends a second answer to a request: right after the first one, or when the
// next answer on the connection is due.
func (w *Worker) sendExtraAnswer(reply ResponseWriter, fault Fault, id string) {
	response := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.again\r\nContent-Length: 5\r\n\r\nagain", HeaderID, id, HeaderSeal, w.ID))
	switch fault {
	case FaultExtra:
		_ = reply.WriteRaw(response)
	case FaultLateExtra:
		reply.WriteRawBeforeNext(response)
	}
}

// serveStream runs a turn on the engine and streams its events, with the request's fault. A
// resumed turn starts after the last event that the client has.
func (w *Worker) serveStream(request *Request, reply ResponseWriter, arrival *Arrival, deadline time.Duration, update func(func(*Arrival)), refuse func(int, ...[2]string)) {
	job := newJob(request, deadline)
	after := int(arrival.After)
	job.maxTokens = max(0, job.maxTokens-after*w.Spec.Engine.TokensPerEvent)
	if !w.engine.submit(job, w.Spec.QueueSize) {
		refuse(503, [2]string{HeaderNotRun, "1"})
		return
	}
	fault, fraction, serial := w.drawFault()
	seal := w.newSeal(serial, arrival.ID)
	header := append(w.header(arrival.ID), [2]string{HeaderSeal, seal}, [2]string{"Content-Type", "text/event-stream"}, [2]string{HeaderWeights, "1"})
	breakAt := -1
	if fault == FaultLostReset || fault == FaultLostSilent || fault == FaultCut || fault == FaultGarbled {
		breakAt = int(fraction * float64(job.maxTokens/w.Spec.Engine.TokensPerEvent))
	}
	sent, started := 0, false
	for {
		progressed := job.notifier.Next()
		outputTokens, state := w.engine.progress(job)
		if state == jobExpired && outputTokens == 0 || state == jobCancelled && outputTokens == 0 {
			refuse(503, [2]string{HeaderNotRun, "1"})
			return
		}
		if outputTokens > 0 && !started {
			started = true
			update(func(a *Arrival) { a.Ran, a.Began, a.Status, a.Seal = true, w.Clock.Now(), 200, seal })
		}
		for events := eventCount(outputTokens, job.maxTokens, w.Spec.Engine.TokensPerEvent); sent < events; sent++ {
			if sent == breakAt {
				w.engine.remove(job)
				update(func(a *Arrival) { a.Broke, a.Ended = true, w.Clock.Now() })
				w.breakStream(request, reply, fault, sent > 0)
				return
			}
			if sent == 0 && reply.WriteHeader(200, header, -1) != nil {
				w.endAbandoned(job, update)
				return
			}
			data := eventData(seal, after+sent+1, w.Spec.Engine.EventBytes)
			update(func(a *Arrival) { a.Events = append(a.Events, Event{int64(after + sent + 1), data, w.Clock.Now()}) })
			if reply.Write([]byte(fmt.Sprintf("id: %d\ndata: %s\n\n", after+sent+1, data))) != nil {
				w.endAbandoned(job, update)
				return
			}
		}
		switch state {
		case jobComplete:
			if sent == 0 && reply.WriteHeader(200, header, -1) != nil {
				w.endAbandoned(job, update)
				return
			}
			update(func(a *Arrival) { a.Whole, a.Ended = true, w.Clock.Now() })
			if reply.Finish() == nil {
				w.sendExtraAnswer(reply, fault, arrival.ID)
			}
			return
		case jobCancelled:
			w.endAbandoned(job, update)
			return
		case jobExpired:
			update(func(a *Arrival) { a.Broke, a.Ended = true, w.Clock.Now() })
			reply.Abort(false)
			return
		}
		progressed.Wait(-1)
	}
}

// endAbandoned ends a stream whose client closed the connection, or whose worker has stopped.
func (w *Worker) endAbandoned(job *job, update func(func(*Arrival))) {
	w.engine.remove(job)
	stopped := w.isStopped()
	update(func(a *Arrival) { a.Left, a.Broke, a.Ended = !stopped, stopped, w.Clock.Now() })
}

// breakStream breaks a stream off as its fault says.
func (w *Worker) breakStream(request *Request, reply ResponseWriter, fault Fault, headSent bool) {
	switch fault {
	case FaultLostSilent:
		request.ClientClosed.Wait(time.Minute)
	case FaultGarbled:
		_ = reply.WriteRaw([]byte("\x00zz garbled\r\n"))
	}
	reply.Abort(fault == FaultLostReset || !headSent)
}

// eventCount returns how many events the tokens so far fill; the last event may hold fewer.
func eventCount(outputTokens, maxTokens, tokensPerEvent int) int {
	if outputTokens >= maxTokens {
		return (maxTokens + tokensPerEvent - 1) / tokensPerEvent
	}
	return outputTokens / tokensPerEvent
}

// eventData returns an event's data, which differs between any two runs.
func eventData(seal string, number, length int) string {
	word := fmt.Sprintf("%s-%d ", seal, number)
	return strings.TrimSpace(strings.Repeat(word, length/len(word)+1)[:max(length, len(word))])
}
