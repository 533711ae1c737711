package asynclog

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/matryer/is"
)

// flushTimeout is longer than any write takes that is not held up on purpose.
const flushTimeout = 10 * time.Second

// newLogger returns a logger whose handler writes text records to an output.
func newLogger(output io.Writer) (*log.Logger, *Handler) {
	handler := New(output, func(w io.Writer) log.Handler { return text.New(w) })
	return &log.Logger{Handler: handler, Level: log.InfoLevel}, handler
}

// TestRecordsAreWrittenInOrder checks that Flush waits for all records.
func TestRecordsAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	var output strings.Builder
	logger, handler := newLogger(&output)
	for number := range 3 {
		logger.WithField("number", number).Info("record")
	}
	is.True(handler.Flush(flushTimeout))
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	is.Equal(len(lines), 3)
	for number, line := range lines {
		is.True(strings.HasSuffix(line, fmt.Sprintf("=%d", number)))
	}
}

// TestLoggingGoesOnWhileTheOutputBlocks guards against work that waits for the log's reader.
func TestLoggingGoesOnWhileTheOutputBlocks(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	logger, handler := newLogger(writer)
	for range 2 * maxQueuedRecords {
		logger.Info("record")
	}
	is.True(!handler.Flush(time.Millisecond))
	read := make(chan string)
	go func() {
		content, _ := io.ReadAll(reader)
		read <- string(content)
	}()
	is.True(handler.Flush(flushTimeout))
	is.NoErr(writer.Close())
	content := <-read
	is.True(strings.Contains(content, "log records were dropped"))
	is.True(strings.Count(content, "record ") >= maxQueuedRecords)
}

// brokenOutput fails all writes.
type brokenOutput struct{}

var errBroken = errors.New("broken")

func (brokenOutput) Write([]byte) (int, error) { return 0, errBroken }

// TestErrorsOfTheOutputAreIgnored guards against a log that ends with its output.
func TestErrorsOfTheOutputAreIgnored(t *testing.T) {
	is := is.New(t)
	logger, handler := newLogger(brokenOutput{})
	logger.Info("record")
	is.True(handler.Flush(flushTimeout))
}
