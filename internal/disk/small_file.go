package disk

import "github.com/juju/errors"

// foundingVotesFileName is the file of a seed's votes on the first disk set.
const foundingVotesFileName = "founding"

// ReadFoundingVotes returns a seed's votes on the first disk set, or nil if there are none or
// they cannot be read.
func ReadFoundingVotes(files Files) []byte { return readSmallFile(files, foundingVotesFileName) }

// WriteFoundingVotes saves a seed's votes on the first disk set and syncs the file.
func WriteFoundingVotes(files Files, votes []byte) error {
	return writeSmallFile(files, foundingVotesFileName, votes)
}

// readSmallFile returns the content of a file that writeSmallFile wrote, or nil if it is not
// there or was written in part.
func readSmallFile(files Files, name string) []byte {
	data, err := files.Read(name)
	if err != nil {
		return nil
	}
	decoded, _, err := decodeRecord(data)
	if err != nil {
		return nil
	}
	return decoded.payload
}

// writeSmallFile replaces the content of a file and syncs it.
func writeSmallFile(files Files, name string, payload []byte) error {
	if err := files.Replace(name, encodeRecord(0, 0, 0, payload)); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(files.Sync(name))
}
