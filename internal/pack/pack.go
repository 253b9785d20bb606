// Package pack compresses the values that daemons send to each other.
package pack

import (
	"github.com/klauspost/compress/zstd"

	"cicadacross"
)

const (
	// dictionaryID names the only dictionary of a value. The digest beside the value says which one it is.
	dictionaryID = 1
	// minWindow is the smallest window that is worth its memory. The window must hold the dictionary and the value, so
	// that a change costs its own size wherever in the value it is; deflate with its 32 KB needed 7.8 KB for one line in
	// a value of 141 KB, and this needs 52 bytes.
	minWindow = 32 << 10
	// decoderMemory bounds what a damaged value can take.
	decoderMemory = 4 << 20
)

// Compress returns the value compressed against the dictionary, which may be empty.
func Compress(data, dictionary []byte) []byte {
	window := minWindow
	for window < len(data)+len(dictionary) {
		window *= 2
	}
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(false), zstd.WithWindowSize(window),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		// The options are in the ranges that the library accepts for all values of up to MaxValueSize.
		panic(err)
	}
	return encoder.EncodeAll(data, nil)
}

// Decompress returns the value, or an error when it is damaged or too large.
func Decompress(packed, dictionary []byte) ([]byte, error) {
	const op = "decompress"
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(decoderMemory),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, wrapError(op, KindInvalid, err, "decoder")
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, wrapError(op, KindInvalid, err, "damaged value")
	}
	if len(data) > cicadacross.MaxValueSize {
		return nil, newError(op, KindInvalid, "the value is over %d bytes", cicadacross.MaxValueSize)
	}
	return data, nil
}
