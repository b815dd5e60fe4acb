"""What metrics and the log tell of a gateway's state."""

from collections.abc import Iterator


def gauges(gateway, now: float) -> Iterator[tuple[str, float]]:
    """Yield the names and values of a gateway's gauges."""
    sync = gateway.sync
    configuration = gateway.view.configuration
    yield "configuration_version", configuration.version if configuration else 0
    yield "store_reachable", float(sync.reachable)
    yield "store_heard_age_seconds", now - (sync.heard_at or 0.0)
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
    shares = gateway.rates.shares_left()
    yield "customers_over_rate", sum(share <= 0.0 for share in shares)
    yield "rate_left_least_share", min(shares, default=1.0)
    budgets = gateway.front.context.budgets.values()
    instances = gateway.front.instance_count()
    left = [budget.left(now, instances) for budget in budgets]
    yield "resends_left_least", min(left, default=0.0)


def state_ages(gateway, now: float) -> dict[str, object]:
    """Return how old is what decisions rest on, for the log."""
    heard_at = gateway.sync.heard_at
    return {
        "store_age_s": None if heard_at is None else round(now - heard_at, 3),
        "peers_live": len(gateway.table.live(now)),
        "peers_expected": len(gateway.table.expected()),
    }
