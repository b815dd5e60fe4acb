"""Target size of the fleet, and the budget of one instance for control work."""

INSTANCES = 370
BACKEND_SERVERS = 760
CUSTOMERS = 4000
MODELS = 29
REQUESTS_PER_S = 9200.0
TOKENS_PER_S = 2.5e6
CACHE_EVENTS_PER_S = 320_000.0
CONFIGURATION_CHANGES_PER_S = 2000 / 86_400
INSTANCE_REQUESTS_PER_S = REQUESTS_PER_S / INSTANCES
INSTANCE_TOKENS_PER_S = TOKENS_PER_S / INSTANCES

MAX_CORE_FRACTION = 0.033
MAX_MEMORY_BYTES = 32e6
MAX_BYTES_PER_S = 4096.0
# The limits are given as "several hundred" writes, taken as 500, and "about two
# thousand" reads a second.
MAX_KEY_VALUE_WRITES_PER_S = 500.0
MAX_KEY_VALUE_READS_PER_S = 2000.0

# Overhead of each datagram. The envelope includes its authentication.
ENVELOPE_BYTES = 110
IP_UDP_HEADER_BYTES = 28
