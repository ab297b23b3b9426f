package prefix

// Level is a part of a prompt that is shared by other prompts up to its end.
type Level struct {
	// Key identifies the prompt up to the end of the level.
	Key Key
	// Piece is the key of the last whole piece within the level, or 0.
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
	c := chain{piece: s.Root()}
	for _, part := range parts {
		c.add(part)
		level := Level{Key: c.piece.Next(c.rest), Tokens: c.pieces * PieceTokens}
		if c.pieces > 0 {
			level.Piece = c.piece
		}
		levels = append(levels, level)
	}
	return levels
}

// chain cuts a text that comes in parts into pieces.
type chain struct {
	piece  Key
	pieces int
	rest   []byte
}

// add appends a part. Only what does not fill a piece is copied.
func (c *chain) add(part []byte) {
	if missing := PieceBytes - len(c.rest); len(c.rest) > 0 {
		n := min(missing, len(part))
		c.rest = append(c.rest, part[:n]...)
		part = part[n:]
		if n < missing {
			return
		}
		c.cut(c.rest)
		c.rest = c.rest[:0]
	}
	for len(part) >= PieceBytes {
		c.cut(part[:PieceBytes])
		part = part[PieceBytes:]
	}
	c.rest = append(c.rest, part...)
}

// cut ends a piece.
func (c *chain) cut(text []byte) {
	c.piece = c.piece.Next(text)
	c.pieces++
}
