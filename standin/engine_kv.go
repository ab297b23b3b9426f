package standin

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/prefix"
)

const (
	// pieceBytes is the size of a piece on the wire; real pieces are far larger.
	pieceBytes = 1024
	// transferTimeout limits the transfer of one piece.
	transferTimeout = 5 * time.Second
)

// KVOrder asks an engine to import or export pieces of its KV cache. Keys are
// hexadecimal hashes that include the account, the model and the weights, so
// that a piece can't be used for others.
type KVOrder struct {
	Pieces []string
	// Peer is the base URL of another engine or of a kept store.
	Peer string
}

// KVMoved is the number of pieces that were transferred.
type KVMoved struct{ Pieces int }

// kvClient transfers pieces.
var kvClient = &http.Client{Timeout: transferTimeout}

// errNoPiece ends a transfer: the piece is missing or the peer rejected it.
var errNoPiece = errors.New("the peer has no such piece")

// piece returns one cached piece.
func (e *Engine) piece(c fiber.Ctx) error {
	key, err := strconv.ParseUint(c.Params("piece"), 16, 64)
	if err != nil {
		return fiber.NewError(http.StatusBadRequest, "the piece's key is not hexadecimal")
	}
	if !e.hasPiece(prefix.Key(key)) {
		return c.SendStatus(http.StatusNotFound)
	}
	time.Sleep(e.transferTime())
	return c.Send(make([]byte, pieceBytes))
}

// importPieces fetches pieces in order and stops at the first one that the peer
// doesn't have: pieces after a gap can't be used.
func (e *Engine) importPieces(c fiber.Ctx) error {
	return e.movePieces(c, func(url string, key prefix.Key) error {
		resp, err := kvClient.Get(url)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		raw, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK || len(raw) != pieceBytes {
			return errors.Join(errNoPiece, err)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.cache.add([]prefix.Key{key})
		return nil
	})
}

// exportPieces sends pieces to a peer.
func (e *Engine) exportPieces(c fiber.Ctx) error {
	return e.movePieces(c, func(url string, key prefix.Key) error {
		if !e.hasPiece(key) {
			return errNoPiece
		}
		time.Sleep(e.transferTime())
		req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(make([]byte, pieceBytes)))
		if err != nil {
			return err
		}
		resp, err := kvClient.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errNoPiece
		}
		return nil
	})
}

// movePieces carries out an order piece by piece until one fails, and answers
// with the number of transferred pieces.
func (e *Engine) movePieces(c fiber.Ctx, transfer func(url string, key prefix.Key) error) error {
	var order KVOrder
	if err := c.Bind().JSON(&order); err != nil {
		return fiber.NewError(http.StatusBadRequest, err.Error())
	}
	var moved KVMoved
	for _, text := range order.Pieces {
		key, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return fiber.NewError(http.StatusBadRequest, "the piece's key is not hexadecimal")
		}
		if transfer(order.Peer+"/kv/"+text, prefix.Key(key)) != nil {
			break
		}
		moved.Pieces++
	}
	return c.JSON(moved)
}

// hasPiece reports whether a piece is cached.
func (e *Engine) hasPiece(key prefix.Key) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.cache.elements[key]
	return ok
}

func (e *Engine) transferTime() time.Duration {
	return time.Duration(e.options.TransferMillis * float64(time.Millisecond))
}
