package model

// Documents are numbered from 1 to maxDocuments, 0 is none. Each is a change of
// one base version, and produces the version after it.
const (
	documentBits = 2
	documentMask = 1<<documentBits - 1
	maxDocuments = documentMask
	// maxVersions is how many documents fit in a history.
	maxVersions = 8 / documentBits
)

// history is the content of a shard: the documents of its versions, packed into
// one byte.
type history uint8

// documentAt returns the document that builds on a base version.
func (h history) documentAt(base uint8) uint8 {
	return uint8(h>>(documentBits*base)) & documentMask
}

// withDocument returns the history with a document on a base version that has
// none yet.
func (h history) withDocument(base, document uint8) history {
	return h | history(document)<<(documentBits*base)
}

// prefix returns the history of the first length versions.
func (h history) prefix(length uint8) history {
	if length >= maxVersions {
		return h
	}
	return h & (1<<(documentBits*length) - 1)
}

// contains reports whether a document is among the first length versions.
func (h history) contains(document, length uint8) bool {
	for base := range length {
		if h.documentAt(base) == document {
			return true
		}
	}
	return false
}

// observation is the content that clients have observed, by an acknowledgement
// or by a read.
type observation struct {
	length  uint8
	history history
}

// record records that clients observed the documents of content from base up to
// length. It returns false if another document was observed for one of these
// versions before.
func (o *observation) record(content history, base, length uint8) bool {
	for version := base; version < length; version++ {
		existing := o.history.documentAt(version)
		if existing != 0 && existing != content.documentAt(version) {
			return false
		}
		if existing == 0 {
			o.history = o.history.withDocument(version, content.documentAt(version))
		}
		o.length = max(o.length, version+1)
	}
	return true
}

// containedIn reports whether the first length versions of content contain every
// observed document.
func (o *observation) containedIn(content history, length uint8) bool {
	for version := range o.length {
		document := o.history.documentAt(version)
		if document != 0 && (version >= length || content.documentAt(version) != document) {
			return false
		}
	}
	return true
}
