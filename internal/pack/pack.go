// Package pack compresses the values that daemons send to each other, with zstd and an optional shared dictionary.
package pack

import (
	"github.com/klauspost/compress/zstd"

	"cicadacross"
)

const (
	// dictionaryID is the same for all dictionaries: a value has at most one, which the digest sent beside the value
	// identifies.
	dictionaryID = 1
	// minWindowSize is the smallest window size used, in bytes; a smaller one would save too little memory. The window
	// must hold the dictionary and the value, so that the compressed size of a change doesn't depend on its position:
	// for one changed line in a value of 141 KB, deflate with its 32 KB window needed 7.8 KB, and zstd needs 52 bytes.
	minWindowSize = 32 << 10
	// maxDecoderMemory is the memory limit for decoding a value, in bytes. It bounds the cost of a corrupt value.
	maxDecoderMemory = 4 << 20
)

// Compress returns the value compressed with the dictionary, which may be empty.
func Compress(data, dictionary []byte) []byte {
	windowSize := minWindowSize
	for windowSize < len(data)+len(dictionary) {
		windowSize *= 2
	}
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(false), zstd.WithWindowSize(windowSize),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		// For all values of up to cicadacross.MaxValueSize, the options are in the ranges that the library accepts.
		panic(err)
	}
	return encoder.EncodeAll(data, nil)
}

// Decompress returns the value. The dictionary must be the one that was passed to Compress. It returns an error of
// KindInvalid when the value is corrupt or larger than cicadacross.MaxValueSize.
func Decompress(compressed, dictionary []byte) ([]byte, error) {
	const op = "decompress"
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecoderMemory),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, wrapError(op, KindInvalid, err, "creating the decoder")
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		return nil, wrapError(op, KindInvalid, err, "corrupt value")
	}
	if len(data) > cicadacross.MaxValueSize {
		return nil, newError(op, KindInvalid, "the value is larger than %d bytes", cicadacross.MaxValueSize)
	}
	return data, nil
}
