"""Measure traffic, propagation time and CPU time of the gossip protocol."""

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

_DAEMON_COUNTS = (2, 9, 40, 160)
_SETTLE_S = 40.0
_MEASURED_S = 10.0
_TIMEOUT_S = 30.0
_STATE = OwnState(
    1,
    is_store_reachable=True,
    demands=tuple(
        TeamDemand('drafts', f'team-{number}', 20 - number)
        for number in range(10)
    ),
)


def measure(count: int) -> dict[str, float]:
    """Return the figures of a gossip exchange between daemons.

    Simulated time advances in steps of 0.125 s, so measured times are rounded
    up to a multiple of that.

    :param count: number of daemons.
    """
    network = PeerNetwork(count)
    joined_s = _run_until(network, lambda: _knows_all_peers(network, count - 1))
    network.run(_SETTLE_S, _STATE)
    sent_bytes = sum(network.sent_bytes.values())
    message_count = network.message_count
    start_s = time.process_time()
    network.run(_MEASURED_S, _STATE)
    cpu_s = time.process_time() - start_s
    message_count = network.message_count - message_count
    sent_bytes = sum(network.sent_bytes.values()) - sent_bytes
    notice_s = _measure_notice_s(network)
    return {
        'daemons': count,
        'all_known_after_s': joined_s,
        'bytes_per_s_each': round(sent_bytes / _MEASURED_S / count),
        'messages_per_s_each': round(message_count / _MEASURED_S / count, 1),
        'decider_cpu_us_a_message': round(cpu_s / message_count * 1e6),
        'notice_heard_by_all_after_s': notice_s,
        'ended_daemon_known_to_all_after_s': _measure_end_detection_s(
            network, count
        ),
        'heartbeat_s': round(_first_daemon(network).heartbeat_interval_s(), 1),
    }


def _measure_notice_s(network: PeerNetwork) -> float:
    for received in network.received.values():
        received.clear()
    notice = Notice(NoticeKind.LEAVING_TARGET, '10.1.0.1:8000', '', 0.0)
    first = next(iter(network.daemons))
    network.daemons[first].announce(notice, network.now_s)
    return _run_until(
        network,
        lambda: all(
            received
            for address, received in network.received.items()
            if address != first
        ),
    )


def _measure_end_detection_s(network: PeerNetwork, count: int) -> float:
    network.daemons.popitem()
    return _run_until(
        network,
        lambda: (
            not any(
                len(daemon.live(network.now_s)) > count - 2
                for daemon in network.daemons.values()
            )
        ),
    )


def _knows_all_peers(network: PeerNetwork, others: int) -> bool:
    return all(
        len(daemon.live(network.now_s)) >= others
        for daemon in network.daemons.values()
    )


def _run_until(network: PeerNetwork, condition) -> float:
    """Run until a condition is true; return the simulated seconds it took.

    The run ends after a timeout even if the condition is still false.
    """
    start_s = network.now_s
    while not condition() and network.now_s - start_s < _TIMEOUT_S:
        network.run(STEP_S, _STATE)
    return network.now_s - start_s


def _first_daemon(network: PeerNetwork):
    return next(iter(network.daemons.values()))


def main(sizes: list[str]) -> None:
    """Print one JSON document with the figures for each number of daemons."""
    counts = [int(size) for size in sizes] or list(_DAEMON_COUNTS)
    print(json.dumps([measure(count) for count in counts], indent=2))


if __name__ == '__main__':
    main(sys.argv[1:])
