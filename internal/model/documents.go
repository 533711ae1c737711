package model

// Documents are small numbers from 1 on; each builds on one base version.
const (
	documentBits = 2
	documentMask = 1<<documentBits - 1
	maxDocuments = documentMask
	// maxVersions is how many documents a history can hold.
	maxVersions = 8 / documentBits
)

// history is a shard's content: the documents of its versions, packed.
type history uint8

// at is the document of the version after a base.
func (h history) at(base uint8) uint8 {
	return uint8(h>>(documentBits*base)) & documentMask
}

// with has a document as the version after a base.
func (h history) with(base, document uint8) history {
	return h | history(document)<<(documentBits*base)
}

// upTo is the history of the first versions.
func (h history) upTo(length uint8) history {
	if length >= maxVersions {
		return h
	}
	return h & (1<<(documentBits*length) - 1)
}

// has tells that a document is in one of the first versions.
func (h history) has(document, length uint8) bool {
	for base := range length {
		if h.at(base) == document {
			return true
		}
	}
	return false
}

// acknowledged is what clients were told of: by an acknowledgement, or by a
// read.
type acknowledged struct {
	length  uint8
	history history
}

// tell notes that clients learnt of the documents of versions from base on;
// it is false where one of them had learnt of another document.
func (a *acknowledged) tell(content history, base, length uint8) bool {
	for version := base; version < length; version++ {
		known := a.history.at(version)
		if known != 0 && known != content.at(version) {
			return false
		}
		if known == 0 {
			a.history = a.history.with(version, content.at(version))
		}
		a.length = max(a.length, version+1)
	}
	return true
}

// within tells that a content holds all that clients were told of.
func (a *acknowledged) within(content history, length uint8) bool {
	for version := range a.length {
		document := a.history.at(version)
		if document != 0 && (version >= length || content.at(version) != document) {
			return false
		}
	}
	return true
}
