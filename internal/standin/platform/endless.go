package platform

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EndlessForm is a form of an answer that has no end: bytes follow until the caller closes the
// connection.
type EndlessForm string

// The forms of endless answers.
const (
	EndlessHeaderLine     EndlessForm = "header_line"      // one header line
	EndlessInterimHeads   EndlessForm = "interim_heads"    // heads with status 100
	EndlessJunkSize       EndlessForm = "junk_size"        // junk where the size of a chunk is due
	EndlessSizeExtension  EndlessForm = "size_extension"   // an extension of a chunk's size
	EndlessChunk          EndlessForm = "one_chunk"        // one chunk of a huge size
	EndlessSmallChunks    EndlessForm = "one_byte_chunks"  // chunks of one byte
	EndlessTrailers       EndlessForm = "trailers"         // trailer lines
	EndlessLength         EndlessForm = "huge_length"      // a body with a huge length
	EndlessNoLength       EndlessForm = "no_length"        // a body without a length
	EndlessPartialEvent   EndlessForm = "partial_event"    // lines that complete no event
	EndlessEvents         EndlessForm = "events"           // whole, numbered events
	EndlessLargeEvents    EndlessForm = "large_events"     // whole, numbered events of 512 KiB
	EndlessUnnumbered     EndlessForm = "unnumbered"       // whole events without an id
	EndlessComments       EndlessForm = "comments"         // events of a comment alone
	EndlessBlankLines     EndlessForm = "blank_lines"      // empty lines alone
	EndlessEventsNoLength EndlessForm = "events_no_length" // whole events in a body without a length
	EndlessForeignAnswers EndlessForm = "foreign_answers"  // whole answers to other requests
)

const (
	// endlessHugeLength is the length that an answer tells which has too many bytes.
	endlessHugeLength      = 20_000_000_000
	endlessBlockBytes      = 64 << 10 // written at once
	endlessEventBytes      = 200      // data of an event
	endlessLargeEventBytes = 512 << 10
	// endlessMaxTime and endlessMaxBytes bound an endless answer whose caller never closes.
	endlessMaxTime  = 15 * time.Second
	endlessMaxBytes = 2 << 30
)

// EndlessForms are all forms of endless answers.
var EndlessForms = []EndlessForm{EndlessHeaderLine, EndlessInterimHeads, EndlessJunkSize, EndlessSizeExtension, EndlessChunk, EndlessSmallChunks, EndlessTrailers,
	EndlessLength, EndlessNoLength, EndlessPartialEvent, EndlessEvents, EndlessLargeEvents, EndlessUnnumbered, EndlessComments, EndlessBlankLines, EndlessEventsNoLength, EndlessForeignAnswers}

// statusRefused is the status of an endless answer that says that the request did not run.
const statusRefused = 503

// endlessFaultPrefix starts the faults that FaultEndless returns.
const endlessFaultPrefix = "endless "

// FaultEndless is the fault of an endless answer with a status.
func FaultEndless(form EndlessForm, status int) Fault {
	return Fault(fmt.Sprintf("%s%s %d", endlessFaultPrefix, form, status))
}

// endless returns the form and the status of an endless answer, if the fault is one.
func (f Fault) endless() (form EndlessForm, status int, ok bool) {
	rest, ok := strings.CutPrefix(string(f), endlessFaultPrefix)
	if !ok {
		return "", 0, false
	}
	name, code, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	return EndlessForm(name), status, err == nil && slices.Contains(EndlessForms, EndlessForm(name))
}

// Write writes an endless answer until write fails or the bounds of an endless answer are
// reached, and returns how many bytes were written. header holds the usual fields of the answer.
func (form EndlessForm) Write(status int, header [][2]string, now func() time.Duration, write func([]byte) error) int64 {
	total := int64(0)
	send := func(block []byte) bool {
		total += int64(len(block))
		return write(block) == nil && total < endlessMaxBytes
	}
	if !send(form.head(status, header)) {
		return total
	}
	for number, end := 1, now()+endlessMaxTime; now() < end; {
		var block []byte
		if block, number = form.block(number); !send(block) {
			break
		}
	}
	return total
}

// head returns the first bytes of the answer.
func (form EndlessForm) head(status int, header [][2]string) []byte {
	var head bytes.Buffer
	if form == EndlessInterimHeads || form == EndlessForeignAnswers {
		return nil
	}
	fmt.Fprintf(&head, "HTTP/1.1 %d Status\r\n", status)
	for _, field := range header {
		fmt.Fprintf(&head, "%s: %s\r\n", field[0], field[1])
	}
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	switch form {
	case EndlessHeaderLine:
		head.WriteString("X-Long: ")
	case EndlessLength:
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", int64(endlessHugeLength))
	case EndlessNoLength, EndlessEventsNoLength:
		head.WriteString("\r\n")
	case EndlessSizeExtension:
		head.WriteString(chunked + "5;")
	case EndlessChunk:
		head.WriteString(chunked + "7fffffff\r\n")
	case EndlessTrailers:
		head.WriteString(chunked + "0\r\n")
	default:
		head.WriteString(chunked)
	}
	return head.Bytes()
}

// block returns the next bytes of the answer, and the number of the event after them.
func (form EndlessForm) block(number int) ([]byte, int) {
	var block bytes.Buffer
	fill := func(piece string) { block.WriteString(strings.Repeat(piece, endlessBlockBytes/len(piece))) }
	chunk := func(data string) { fmt.Fprintf(&block, "%x\r\n%s\r\n", len(data), data) }
	switch form {
	case EndlessInterimHeads:
		fill("HTTP/1.1 100 Continue\r\n\r\n")
	case EndlessForeignAnswers:
		fill("HTTP/1.1 200 OK\r\n" + HeaderID + ": another\r\nContent-Length: 5\r\n\r\nother")
	case EndlessSmallChunks:
		fill("1\r\nx\r\n")
	case EndlessTrailers:
		fill("X-Trailer: value\r\n")
	case EndlessPartialEvent:
		chunk(strings.Repeat("data: x\n", endlessBlockBytes/8))
	case EndlessComments:
		chunk(strings.Repeat(": nothing\n\n", endlessBlockBytes/11))
	case EndlessBlankLines:
		chunk(strings.Repeat("\n", endlessBlockBytes))
	case EndlessUnnumbered:
		chunk(strings.Repeat("data: "+strings.Repeat("x", endlessEventBytes)+"\n\n", endlessBlockBytes/endlessEventBytes))
	case EndlessEvents, EndlessLargeEvents, EndlessEventsNoLength:
		size := endlessEventBytes
		if form == EndlessLargeEvents {
			size = endlessLargeEventBytes
		}
		var events strings.Builder
		for first := true; first || events.Len() < endlessBlockBytes; first = false {
			fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", number, strings.Repeat("x", size))
			number++
		}
		if form == EndlessEventsNoLength {
			block.WriteString(events.String())
		} else {
			chunk(events.String())
		}
	default:
		fill("x")
	}
	return block.Bytes(), number
}

// endlessEventCount is how many events of an endless answer are recorded, more than are passed on
// of one.
const endlessEventCount = 6000

// events returns the first events of the answer, for the record. Answers share them.
func (form EndlessForm) events() []Event {
	endlessEventsMu.Lock()
	defer endlessEventsMu.Unlock()
	if known, ok := endlessEvents[form]; ok {
		return known
	}
	var events []Event
	data := strings.Repeat("x", endlessEventBytes)
	switch form {
	case EndlessLargeEvents:
		data = strings.Repeat("x", endlessLargeEventBytes)
	case EndlessComments:
		data = ""
	case EndlessEvents, EndlessEventsNoLength, EndlessUnnumbered:
	default:
		return nil
	}
	numbered := form != EndlessUnnumbered && form != EndlessComments
	for number := range endlessEventCount {
		event := Event{Data: data}
		if numbered {
			event.ID = int64(number + 1)
		}
		events = append(events, event)
	}
	endlessEvents[form] = events
	return events
}

var (
	endlessEventsMu sync.Mutex
	endlessEvents   = map[EndlessForm][]Event{}
)

// endlessFault draws the endless answer of the next request, if it has one.
func (w *Worker) endlessFault() (form EndlessForm, status int, ok bool) {
	if w.NextEndless == nil {
		return "", 0, false
	}
	return w.NextEndless().endless()
}

// serveEndless answers a request without end.
func (w *Worker) serveEndless(form EndlessForm, status int, reply ResponseWriter, arrival *Arrival, update func(func(*Arrival))) {
	contentType := "application/octet-stream"
	if w.engine != nil {
		contentType = "text/event-stream"
	}
	w.mu.Lock()
	w.lastSerial++
	seal := w.newSeal(w.lastSerial, arrival.ID)
	w.mu.Unlock()
	header := append(w.header(arrival.ID), [2]string{HeaderSeal, seal}, [2]string{"Content-Type", contentType})
	refusal := status == statusRefused
	if refusal {
		header = append(header, [2]string{HeaderNotRun, "1"})
	}
	update(func(a *Arrival) {
		a.Ran, a.Began, a.Broke, a.Status, a.Seal = !refusal, w.Clock.Now(), true, status, seal
	})
	if status == 200 && w.engine != nil {
		update(func(a *Arrival) { a.Events = form.events() })
	}
	taken := form.Write(status, header, w.Clock.Now, reply.WriteRaw)
	update(func(a *Arrival) { a.Ended, a.EndlessBytes = w.Clock.Now(), taken })
	reply.Abort(false)
}
