"""The catalogue of numbered events.

A number never changes its meaning. docs/EVENTS.md tells operators what each event
means and what to do; a test checks that the two agree.
"""

import enum


class Level(enum.Enum):
    """The severity of an event for an operator."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Event(enum.Enum):
    """A numbered event with its level and text."""

    # 10xx: the process.
    INSTANCE_STARTED = (1001, Level.INFO, "instance started")
    INSTANCE_READY = (1002, Level.INFO, "instance ready to serve")
    DRAIN_STARTED = (1003, Level.INFO, "graceful shutdown started")
    DRAIN_FINISHED = (1004, Level.INFO, "graceful shutdown finished")
    SETTINGS_RELOADED = (1008, Level.INFO, "settings reloaded")
    SETTINGS_REJECTED = (1009, Level.ERROR, "settings rejected")
    INSTANCE_SUSPENDED = (1007, Level.WARNING, "instance was suspended")
    DRAIN_CUT_SHORT = (1005, Level.ERROR, "graceful shutdown cut short")
    BACKGROUND_TASK_FAILED = (1006, Level.ERROR, "background task failed and continues")

    # 11xx: configuration and keys.
    REVISION_IN_FORCE = (1101, Level.INFO, "configuration revision in force")
    KEY_WITHDRAWN = (1102, Level.INFO, "key withdrawn")
    CONFIGURATION_STALE = (1103, Level.ERROR, "no contact with service or peers")
    CONFIGURATION_FRESH = (1104, Level.INFO, "contact with service or peers restored")
    REVISION_REJECTED = (1105, Level.ERROR, "configuration entry rejected")
    SNAPSHOT_WRITTEN = (1106, Level.INFO, "configuration snapshot written")

    VERSION_NAMED = (1107, Level.INFO, "version of weights named")
    VERSION_AGE_CORRECTED = (1109, Level.INFO, "age of a named version corrected")
    PEER_COPY_APPLIED = (1108, Level.INFO, "newer state copied from a peer")

    # 12xx: requests.
    REQUEST_REFUSED = (1202, Level.INFO, "request refused")
    REQUEST_PLACED = (1203, Level.DEBUG, "request sent to backend server")
    REQUEST_COMPLETED = (1204, Level.INFO, "request completed")
    REQUEST_FAILED = (1205, Level.WARNING, "request failed after its start")
    REQUEST_RETRIED = (1206, Level.INFO, "request retried")
    CALLER_LEFT = (1207, Level.INFO, "caller closed the connection")
    REPLACED_WEIGHTS_USED = (1208, Level.INFO, "request sent to replaced weights")

    # 13xx: backend servers and streams.
    SERVER_SUSPECTED = (1301, Level.WARNING, "backend server suspected")
    SERVER_REACHABLE = (1303, Level.INFO, "backend server reachable again")
    STREAM_RESUMED = (1302, Level.INFO, "stream resumed at its offset")
    ENGINE_UNREACHABLE = (1311, Level.WARNING, "engine does not respond to polls")
    ENGINE_REACHABLE = (1312, Level.INFO, "engine responds to polls again")
    ENGINE_RESTARTED = (1313, Level.WARNING, "engine restarted with an empty cache")

    PREFIX_STORE_LOST = (1315, Level.WARNING, "prefix store unreachable")
    PREFIX_STORE_RECOVERED = (1316, Level.INFO, "prefix store reachable again")
    SERVER_JOINED = (1321, Level.INFO, "backend server registered")
    SERVER_CHANGED = (1322, Level.INFO, "backend server's entry changed")
    SERVER_REPLACED = (1324, Level.INFO, "another backend server at this address")
    SERVER_LEFT = (1323, Level.INFO, "backend server's entry removed")
    SERVER_KEPT = (1325, Level.INFO, "backend server kept without its entry")

    # 14xx: peers and membership.
    MEMBER_JOINED = (1401, Level.INFO, "instance is live")
    MEMBER_SUSPECTED = (1402, Level.INFO, "instance does not respond")
    MEMBER_LOST = (1403, Level.WARNING, "instance assumed to be dead")
    MEMBER_LEAVING = (1404, Level.INFO, "instance is leaving")
    MEMBER_LEFT = (1405, Level.INFO, "instance has left")
    PEER_MESSAGE_DROPPED = (1406, Level.WARNING, "message from peer dropped")
    INSTANCE_SUPERSEDED = (1407, Level.ERROR, "newer process has this name")
    INSTANCE_LIST_LOST = (1408, Level.WARNING, "list of instances does not respond")
    # 15xx: rates.
    SHARES_SUSPENDED = (1501, Level.WARNING, "rate shares unused after a pause")
    SHARES_RESUMED = (1502, Level.INFO, "rate shares in use again")
    LEDGER_WRITTEN = (1503, Level.INFO, "ledger of rate shares written")
    RESERVE_SETTLED = (1504, Level.INFO, "silent peer's part of a rate settled")

    # 16xx: claims.
    CLAIM_OUTCOME_LOST = (1601, Level.WARNING, "outcome of a claim not recorded")

    # 17xx: orders to engines, and requests that crash servers.
    LOAD_ORDERED = (1701, Level.INFO, "engine is to load weights")
    LOAD_FINISHED = (1702, Level.INFO, "engine has loaded weights")
    LOAD_ABANDONED = (1703, Level.WARNING, "load of weights abandoned")
    ORDER_NOT_ACCEPTED = (1704, Level.WARNING, "order refused or its response lost")
    ORDERS_SUSPENDED = (
        1705,
        Level.WARNING,
        "orders suspended without key-value service",
    )
    ORDERS_RESUMED = (1706, Level.INFO, "orders resumed")
    LAST_SERVER_KEPT = (1707, Level.WARNING, "last serving engine not reloaded")
    SERVER_CRASH_REPORTED = (1711, Level.WARNING, "requests suspect after a crash")
    FATAL_PARTS_FOUND = (1713, Level.ERROR, "parts of prompts refused from now on")
    FATAL_REQUEST_FOUND = (1712, Level.ERROR, "request refused from now on")

    # 18xx: the key-value service.
    KEY_VALUE_LOST = (1801, Level.WARNING, "key-value service does not respond")
    KEY_VALUE_RECOVERED = (1802, Level.INFO, "key-value service responds again")
    KEY_VALUE_RESTORED = (1803, Level.WARNING, "key-value service lost changes")
    WATCH_FAILED = (1804, Level.INFO, "watch of key-value service failed")

    @property
    def number(self) -> int:
        """The number, shown in logs as in ``CF1202``."""
        return self.value[0]

    @property
    def level(self) -> Level:
        """The severity of the event."""
        return self.value[1]

    @property
    def text(self) -> str:
        """A short description of the event."""
        return self.value[2]
