"""The size to build towards, and the budget of one instance for control."""

INSTANCES = 370
BACKEND_SERVERS = 760
CUSTOMERS = 4000
MODELS = 29
REQUESTS_PER_S = 9200.0
TOKENS_PER_S = 2.5e6
CACHE_EVENTS_PER_S = 320_000.0
CHANGES_PER_S = 2000 / 86_400
REQUESTS_HERE_PER_S = REQUESTS_PER_S / INSTANCES
TOKENS_HERE_PER_S = TOKENS_PER_S / INSTANCES

CORE_SHARE = 0.033
MEMORY_BYTES = 32e6
BYTES_PER_S = 4096.0
# "Several hundred" writes, taken as 500, and "about two thousand" reads a second.
KEY_VALUE_WRITES_PER_S = 500.0
KEY_VALUE_READS_PER_S = 2000.0

# Of each datagram: the envelope with its authentication, and IP and UDP headers.
ENVELOPE_BYTES = 110
HEADER_BYTES = 28
