"""Measures the exchange between daemons: bytes, spreading, processor time."""

from __future__ import annotations

import json
import sys
import time

from nutmegspoke.bench.peer_network import STEP_S, PeerNetwork
from nutmegspoke.membership.gossip_types import OwnState
from nutmegspoke.membership.messages import (
    Notice,
    NoticeKind,
    TeamDemand,
)

_SIZES = (2, 9, 40, 160)
_SETTLE_S = 40.0
_WATCH_S = 10.0
_LIMIT_S = 30.0
_STATE = OwnState(
    1,
    is_store_reachable=True,
    demands=tuple(
        TeamDemand('drafts', f'team-{number}', 20 - number)
        for number in range(10)
    ),
)


def measure(count: int) -> dict[str, float]:
    """Return figures of an exchange among so many daemons.

    Time passes in steps of 0.125 s, so times are rounded up to that.
    """
    network = PeerNetwork(count)
    joined_s = _time_until(network, lambda: _knows_all(network, count - 1))
    network.run(_SETTLE_S, _STATE)
    sent = sum(network.sent_bytes.values())
    messages = network.message_count
    began_s = time.process_time()
    network.run(_WATCH_S, _STATE)
    busy_s = time.process_time() - began_s
    messages = network.message_count - messages
    sent = sum(network.sent_bytes.values()) - sent
    notice_s = _notice_time_s(network)
    return {
        'daemons': count,
        'all_known_after_s': joined_s,
        'bytes_per_s_each': round(sent / _WATCH_S / count),
        'messages_per_s_each': round(messages / _WATCH_S / count, 1),
        'decider_cpu_us_a_message': round(busy_s / messages * 1e6),
        'notice_heard_by_all_after_s': notice_s,
        'ended_daemon_known_to_all_after_s': _ended_time_s(network, count),
        'heartbeat_s': round(_any(network).heartbeat_s(), 1),
    }


def _notice_time_s(network: PeerNetwork) -> float:
    for received in network.received.values():
        received.clear()
    notice = Notice(NoticeKind.LEAVING_TARGET, '10.1.0.1:8000', '', 0.0)
    first = next(iter(network.daemons))
    network.daemons[first].announce(notice, network.now_s)
    return _time_until(
        network,
        lambda: all(
            received
            for address, received in network.received.items()
            if address != first
        ),
    )


def _ended_time_s(network: PeerNetwork, count: int) -> float:
    network.daemons.popitem()
    return _time_until(
        network,
        lambda: (
            not any(
                len(daemon.live(network.now_s)) > count - 2
                for daemon in network.daemons.values()
            )
        ),
    )


def _knows_all(network: PeerNetwork, others: int) -> bool:
    return all(
        len(daemon.live(network.now_s)) >= others
        for daemon in network.daemons.values()
    )


def _time_until(network: PeerNetwork, condition) -> float:
    began_s = network.now_s
    while not condition() and network.now_s - began_s < _LIMIT_S:
        network.run(STEP_S, _STATE)
    return network.now_s - began_s


def _any(network: PeerNetwork):
    return next(iter(network.daemons.values()))


def main(sizes: list[str]) -> None:
    """Print one JSON document for the sizes."""
    counts = [int(size) for size in sizes] or list(_SIZES)
    print(json.dumps([measure(count) for count in counts], indent=2))


if __name__ == '__main__':
    main(sys.argv[1:])
