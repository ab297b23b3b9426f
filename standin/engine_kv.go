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
	// pieceBytes is the size of a piece on the wire; it stands for far more.
	pieceBytes = 1024
	// transferTimeout bounds the transfer of one piece.
	transferTimeout = 5 * time.Second
)

// KVOrder asks an engine to move pieces of its KV cache. Keys are in
// hexadecimal and name the account, the model and the weights, so that a
// piece can't be used for others.
type KVOrder struct {
	Pieces []string
	// Peer is the base URL of another engine or of a kept store.
	Peer string
}

// KVMoved tells how many pieces were moved.
type KVMoved struct{ Pieces int }

// kvClient moves pieces.
var kvClient = &http.Client{Timeout: transferTimeout}

// errNoPiece tells that the peer has no such piece.
var errNoPiece = errors.New("the peer has no such piece")

// piece sends one piece of the cache.
func (e *Engine) piece(c fiber.Ctx) error {
	key, err := strconv.ParseUint(c.Params("piece"), 16, 64)
	if err != nil {
		return fiber.NewError(http.StatusBadRequest, "the piece's key is not hexadecimal")
	}
	if !e.has(prefix.Key(key)) {
		return c.SendStatus(http.StatusNotFound)
	}
	time.Sleep(e.transferTime())
	return c.Send(make([]byte, pieceBytes))
}

// importPieces fetches pieces in order and stops at the first that the peer
// doesn't have: pieces after a gap are of no use.
func (e *Engine) importPieces(c fiber.Ctx) error {
	return e.move(c, func(url string, key prefix.Key) error {
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
		e.cache.keep([]prefix.Key{key})
		return nil
	})
}

// exportPieces sends pieces to a peer.
func (e *Engine) exportPieces(c fiber.Ctx) error {
	return e.move(c, func(url string, key prefix.Key) error {
		if !e.has(key) {
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

// move carries out an order piece by piece and answers how far it came.
func (e *Engine) move(c fiber.Ctx, one func(url string, key prefix.Key) error) error {
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
		if one(order.Peer+"/kv/"+text, prefix.Key(key)) != nil {
			break
		}
		moved.Pieces++
	}
	return c.JSON(moved)
}

// has tells whether a piece is cached.
func (e *Engine) has(key prefix.Key) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.cache.elements[key]
	return ok
}

func (e *Engine) transferTime() time.Duration {
	return time.Duration(e.options.TransferMillis * float64(time.Millisecond))
}
