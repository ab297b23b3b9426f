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
	key, piece := s.Root(), s.Root()
	var rest []byte
	tokens := 0
	for _, part := range parts {
		key = key.Next(part)
		rest = append(rest, part...)
		for len(rest) >= PieceBytes {
			piece, rest = piece.Next(rest[:PieceBytes]), rest[PieceBytes:]
			tokens += PieceTokens
		}
		level := Level{Key: key, Tokens: tokens}
		if tokens > 0 {
			level.Piece = piece
		}
		levels = append(levels, level)
	}
	return levels
}
