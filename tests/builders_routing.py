"""Builders of targets and queries for the routing and admission tests."""

from __future__ import annotations

from nutmegspoke.admission.tickets import Ticket
from nutmegspoke.layers import LayerRange
from nutmegspoke.routing.choices import ChainQuery, TargetQuery
from nutmegspoke.targets import Target


def engine(name: str, start: int, stop: int, **changes: object) -> Target:
    """Return an engine that holds layers ``start`` to ``stop``."""
    fields: dict = {
        'address': f'10.0.0.1:{len(name)}',
        'pool': 'drafts',
        'layer_tokens_per_s': 100.0,
    }
    layers = LayerRange(start, stop)
    return Target(name=name, layers=layers, **{**fields, **changes})


def mixed_engines(count: int, layer_count: int = 80) -> tuple[Target, ...]:
    """Return engines with different speeds, links, layer ranges and zones.

    The speeds are 1:2:4 and the links 1:100; there are three zones.
    """
    spans = (layer_count // 8, layer_count // 4, layer_count // 2)
    engines = []
    for number in range(count):
        kind = number % 3
        span = spans[kind]
        start = (number // 3 * span) % layer_count
        engines.append(
            engine(
                f'engine-{number}',
                start,
                start + span,
                layer_tokens_per_s=1000.0 * 2**kind,
                link_bytes_per_s=1e6 if number % 10 == 0 else 1e8,
                availability_zone=f'zone-{number // 3 % 3}',
            ),
        )
    return tuple(engines)


def chain_query(layer_count: int = 4, **changes: object) -> ChainQuery:
    """Return a query for a chain over ``layer_count`` layers."""
    fields: dict = {'request_id': 'r', 'max_in_flight': 4, **changes}
    return ChainQuery(layer_count=layer_count, **fields)


def target_query(**changes: object) -> TargetQuery:
    """Return a query for one target."""
    fields: dict = {'request_id': 'r', 'max_in_flight': 4, **changes}
    return TargetQuery(**fields)


def ticket(request_id: str, team: str = 'press', **changes: object) -> Ticket:
    """Return a ticket with a deadline in the far future."""
    fields: dict = {'deadline_s': 1e9, **changes}
    return Ticket(request_id=request_id, team=team, **fields)
