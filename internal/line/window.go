package line

import "fordseam/internal/memory"

const (
	// windowBytes is how much of a stream may wait for its reader. A worker that is faster is
	// held back: its bytes stay in its connection.
	windowBytes = 64 << 10
	// freeWindowBytes of a stream are not counted, and kept once they were read: a message that
	// asks for them may come twice.
	freeWindowBytes = 8 << 10
)

// window holds the pieces of a stream that its reader has not taken, and a few that it has. The
// lock of the stream guards it.
type window struct {
	pieces    [][]byte
	first     int // position of the first piece
	taken     int // position up to which the reader has taken the pieces
	bytes     int // of the pieces that the reader has not taken
	keptBytes int // of the others
	lease     *memory.Lease
	held      int // counted by the lease
}

// end is the position after the last piece.
func (w *window) end() int { return w.first + len(w.pieces) }

// hasRoom reports whether a piece may be added now. A piece of any size may be if no other waits.
func (w *window) hasRoom(size int) bool { return w.bytes == 0 || w.bytes+size <= windowBytes }

// shortfall is how much memory must be taken before a piece is added.
func (w *window) shortfall(size int) int { return max(0, w.bytes+size-freeWindowBytes-w.held) }

func (w *window) add(piece []byte) {
	w.pieces = append(w.pieces, piece)
	w.bytes += len(piece)
	w.trim()
}

// take records that the reader has taken the pieces before a position, and reports whether any
// of them is new.
func (w *window) take(position int) bool {
	position = min(position, w.end())
	if position <= w.taken {
		return false
	}
	for ; w.taken < position; w.taken++ {
		size := len(w.pieces[w.taken-w.first])
		w.bytes -= size
		w.keptBytes += size
	}
	w.trim()
	if surplus := w.held - max(0, w.bytes-freeWindowBytes); surplus > 0 {
		w.lease.Shrink(surplus)
		w.held -= surplus
	}
	return true
}

// trim drops the oldest pieces that were taken, as long as too many bytes are kept.
func (w *window) trim() {
	for w.first < w.taken && w.keptBytes+w.bytes > freeWindowBytes {
		w.keptBytes -= len(w.pieces[0])
		w.pieces[0] = nil
		w.pieces = w.pieces[1:]
		w.first++
	}
}

// from returns the pieces from a position on.
func (w *window) from(position int) [][]byte {
	return w.pieces[min(max(0, position-w.first), len(w.pieces)):]
}

// drop gives up all pieces and the memory.
func (w *window) drop() {
	w.take(w.end())
	w.pieces, w.first, w.keptBytes = nil, w.taken, 0
	w.lease.Close()
}
