"""MessagePack codec of the RPC messages."""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from sequoiachute.protocol.decoder import decode_msgpack


class MessageCodec(CodecBase):
    """Encodes ``NamedTuple`` messages as MessagePack arrays.

    A message from a newer peer may carry more fields than this version knows;
    the trailing ones are ignored. New fields therefore go last and need defaults.
    """

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message in ``data``; raise ``msgspec.DecodeError``."""
        try:
            return decode_msgpack(data, message_type)
        except msgspec.ValidationError:
            fields = decode_msgpack(data)
            known_count = len(message_type._fields)
            if not isinstance(fields, list) or len(fields) <= known_count:
                raise
            return msgspec.convert(fields[:known_count], message_type)
