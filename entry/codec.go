package entry

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxMessageBytes bounds one message between VMs. The text of a prompt of a million tokens takes about 4 MiB.
const maxMessageBytes = 64 << 20

// cborCodec encodes the messages between VMs. Unknown fields are ignored, so that VMs of different versions can
// communicate.
type cborCodec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

func newCodec() (cborCodec, error) {
	enc, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		return cborCodec{}, errors.Wrap(err, "CBOR encoder")
	}
	// The limit on array elements is high enough for the streams and grants of a large endpoint and far below the limit
	// on message size.
	dec, err := cbor.DecOptions{MaxArrayElements: 1 << 20, ExtraReturnErrors: cbor.ExtraDecErrorNone}.DecMode()
	if err != nil {
		return cborCodec{}, errors.Wrap(err, "CBOR decoder")
	}
	return cborCodec{enc: enc, dec: dec}, nil
}

// Marshal implements encoding.Codec of grpc-go.
func (c cborCodec) Marshal(v any) ([]byte, error) { return c.enc.Marshal(v) }

// Unmarshal implements encoding.Codec of grpc-go.
func (c cborCodec) Unmarshal(data []byte, v any) error { return c.dec.Unmarshal(data, v) }

// Name implements encoding.Codec of grpc-go.
func (c cborCodec) Name() string { return "cbor" }
