package prefix

// Level is a prefix of a prompt, up to the end of a part, that other prompts may
// share.
type Level struct {
	// Key identifies the prompt up to the end of the level.
	Key Key
	// Piece is the key of the last whole piece up to the end of the level, or 0
	// if there is none.
	Piece Key
	// Tokens counts the tokens of whole pieces up to the end of the level.
	Tokens int
}

// Levels returns the levels of a prompt, from the widest to the deepest. The
// last part belongs to one request only and is left out, unless it is the
// only one.
func Levels(s Scope, parts [][]byte) []Level {
	if len(parts) > 1 {
		parts = parts[:len(parts)-1]
	}
	levels := make([]Level, 0, len(parts))
	c := pieceChain{piece: s.Root()}
	for _, part := range parts {
		c.add(part)
		level := Level{Key: c.piece.Next(c.partial), Tokens: c.pieces * PieceTokens}
		if c.pieces > 0 {
			level.Piece = c.piece
		}
		levels = append(levels, level)
	}
	return levels
}

// pieceChain splits a text that is added in parts into pieces.
type pieceChain struct {
	piece   Key
	pieces  int
	partial []byte
}

// add appends a part. It copies only bytes that don't fill a whole piece of the
// part.
func (c *pieceChain) add(part []byte) {
	if missing := PieceBytes - len(c.partial); len(c.partial) > 0 {
		n := min(missing, len(part))
		c.partial = append(c.partial, part[:n]...)
		part = part[n:]
		if n < missing {
			return
		}
		c.endPiece(c.partial)
		c.partial = c.partial[:0]
	}
	for len(part) >= PieceBytes {
		c.endPiece(part[:PieceBytes])
		part = part[PieceBytes:]
	}
	c.partial = append(c.partial, part...)
}

// endPiece adds the key of a whole piece to the chain.
func (c *pieceChain) endPiece(text []byte) {
	c.piece = c.piece.Next(text)
	c.pieces++
}
