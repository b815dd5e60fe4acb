"""Limits on what a backend server may send beside the body of a response."""

# Heads, trailers and chunk headers are far shorter; more bytes without any of a body
# are no response.
MAX_OVERHEAD_BYTES = 262_144
# Headers of one response, its trailers included, with the memory that each takes.
MAX_HEADER_BYTES = 65_536
# Memory that a header or a chunk takes beside its bytes.
OBJECT_BYTES = 64
