"""The state of a gateway as gauges and as fields of log lines."""

from collections.abc import Iterator

from cassiaford.gateway._own_keys import OWN_PREFIX


def gauges(gateway, now: float) -> Iterator[tuple[str, float]]:
    """Yield the names and values of a gateway's gauges."""
    sync = gateway.sync
    configuration = gateway.view.configuration
    yield "configuration_version", configuration.version if configuration else 0
    yield "store_reachable", float(sync.reachable)
    yield "store_heard_age_seconds", now - (sync.last_response_at or 0.0)
    for name, prefix in _sections(gateway).items():
        age_s = sync.age_s(prefix)
        yield f"{name}_age_seconds", now if age_s is None else age_s
    yield "peers_live", len(gateway.table.live(now))
    yield "peers_expected", len(gateway.table.expected())
    yield "requests_in_progress", gateway.front.in_progress
    yield "requests_waiting", len(gateway.placer.waiting.prefill_s)
    yield "caller_connections", len(gateway.connections)
    yield "server_connections_opened_total", gateway.adapter.pool.opened
    yield "servers_unreachable", len(gateway.prober.unreachable)
    yield "engines_out_of_use", len(gateway.placer.out_of_use)
    yield "prefill_tokens_per_second", gateway.engines.speed.tokens_per_s
    yield "engines_demanded", gateway.engines.demand(now)
    yield "log_lines_dropped", gateway.log.dropped
    fractions = gateway.rates.remaining_fractions()
    yield "customers_over_rate", sum(fraction <= 0.0 for fraction in fractions)
    yield "rate_left_least_share", min(fractions, default=1.0)
    yield "requests_suspect", len(gateway.crashes.tracker.suspicions)
    yield "requests_refused_after_crashes", gateway.crashes.refused_count
    yield "stream_origins", len(gateway.origins.origins)
    yield "stream_origin_lookups_total", gateway.origins.lookup_count
    yield "stream_origins_found_total", gateway.origins.found_count
    yield "stream_origin_lookups_dropped_total", gateway.origins.dropped_count
    budgets = gateway.front.context.budgets.values()
    instances = gateway.front.instance_count()
    remaining = [budget.remaining(now, instances) for budget in budgets]
    yield "resends_left_least", min(remaining, default=0.0)


def state_ages(gateway, now: float) -> dict[str, object]:
    """Return how recent the state behind a decision is, as fields of a log line."""
    last_response_at = gateway.sync.last_response_at
    records = gateway.adapter.records
    return {
        "store_age_s": (
            None if last_response_at is None else round(now - last_response_at, 3)
        ),
        "configuration_age_s": _rounded(gateway.sync.age_s(records.operators_prefix)),
        "servers_age_s": _rounded(gateway.sync.age_s(records.servers_prefix)),
        "peers_live": len(gateway.table.live(now)),
        "peers_expected": len(gateway.table.expected()),
    }


def _sections(gateway):
    """Return the prefix of each section of the store's mirror, by a name."""
    records = gateway.adapter.records
    return {
        "configuration": records.operators_prefix,
        "servers": records.servers_prefix,
        "own_keys": OWN_PREFIX,
    }


def _rounded(seconds):
    return None if seconds is None else round(seconds, 3)
