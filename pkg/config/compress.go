package config

import (
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// compressor and decompressor are shared: EncodeAll and DecodeAll are safe for concurrent use. A concurrency of one
// bounds the memory that they keep.
var (
	compressor = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault),
			zstd.WithWindowSize(MaxPieceBytes), zstd.WithLowerEncoderMem(true))
	})
	decompressor = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressedBytes),
			zstd.WithDecoderLowmem(true))
	})
)

// maxDecompressedBytes bounds the size of one decompressed message, so that a peer cannot exhaust the memory of a node.
const maxDecompressedBytes = 8 << 20

// Compress returns data in zstd format, for the transfer between nodes.
func Compress(data []byte) ([]byte, error) {
	encoder, err := compressor()
	if err != nil {
		return nil, fmt.Errorf("create zstd encoder: %w", err)
	}
	return encoder.EncodeAll(data, make([]byte, 0, len(data)/4)), nil
}

// Decompress reverses Compress. It fails if the result would exceed 8 MB.
func Decompress(data []byte) ([]byte, error) {
	decoder, err := decompressor()
	if err != nil {
		return nil, fmt.Errorf("create zstd decoder: %w", err)
	}
	plain, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress %d bytes: %w", len(data), err)
	}
	return plain, nil
}
