"""Sum up the updates of several daemons in one.

A relay sends the other groups a summary of its own group, and each member of
its group a summary of all daemons but that member.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from nutmegspoke.contention.demand import sum_demand, without_part
from nutmegspoke.membership.common_work import READER_COUNT, rank_key
from nutmegspoke.membership.load_news import LoadUpdate, Scope, TargetFault
from nutmegspoke.membership.received_updates import hosts_of

from nutmegspoke.retries.notices import merge_notices

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from nutmegspoke.membership.received_updates import (
        ReceivedUpdate,
        ReceivedUpdates,
    )
    from nutmegspoke.retries.notices import Notice
    from nutmegspoke.retries.target_limits import LimitNews

# Sums by name, as in ``LoadUpdate.reservations`` and ``LoadUpdate.used``.
_Sums = dict[str, tuple[float, int, int]]
# Notices that a summary may contain; each is repeated in several.
_MAX_NOTICES = 64


def new_summaries(
    own: LoadUpdate, received: ReceivedUpdates, now_s: float
) -> Iterator[tuple[tuple[str, ...], LoadUpdate]]:
    """Yield the summaries that a relay sends, and the hosts that receive them.

    :param own: update of the relay itself.
    :param received: updates that the relay has received.
    """
    yield (
        received.relays.relays_elsewhere(now_s),
        _summarize(
            own,
            received.members(now_s),
            Scope.GROUP,
            received.count_known_members() + 1,
            now_s,
        ),
    )
    summary = _summarize(
        own,
        received.parts(now_s),
        Scope.ALL_OTHERS,
        received.count_known_parts() + 1,
        now_s,
    )
    for member in received.asking_members(now_s):
        yield (member.host,), _without(summary, member)


def _summarize(
    own: LoadUpdate,
    received: Sequence[ReceivedUpdate],
    scope: Scope,
    known_daemons: int,
    now_s: float,
) -> LoadUpdate:
    """Return the sum of a relay's own update and those received.

    :param own: update of the relay itself, which provides host, start, number
        and group of the summary.
    :param received: other updates, which contain no daemon twice.
    :param scope: the daemons that the summary contains.
    :param known_daemons: their number with those that are silent.
    """
    updates = [own, *(_aged(update, now_s) for update in received)]
    era = max(update.era for update in updates)
    current = [update for update in updates if update.era == era]
    hosts = {host for update in updates for host in hosts_of(update)}
    return msgspec.structs.replace(
        own,
        reservations=_sum(update.reservations for update in updates),
        faults=_union_faults(updates),
        leads=any(update.leads for update in updates),
        lease=_newest_lease(updates),
        reports=dict(
            item for update in updates for item in update.reports.items()
        ),
        reassignments=dict(
            item for update in updates for item in update.reassignments.items()
        ),
        used=_sum(update.used for update in updates),
        lost=(),
        feeds=_newest_versions(current),
        era=era,
        notices=_union_notices(updates),
        silence_age_s=_newest_silence_s(updates),
        asks_summary=False,
        scope=scope,
        daemons=sum(update.daemons for update in updates),
        known_daemons=known_daemons,
        first_hosts=tuple(sorted(hosts, key=rank_key)[:READER_COUNT]),
        limits=_merge_limits(updates),
        demand=sum_demand(update.demand for update in updates),
        copied=_sum_counts(updates),
    )


def _without(summary: LoadUpdate, member: LoadUpdate) -> LoadUpdate:
    """Return a summary of all daemons but one that it contains.

    :param member: update of that daemon, as contained in the summary.
    """
    return msgspec.structs.replace(
        summary,
        reservations=_difference(summary.reservations, member.reservations),
        used=_difference(summary.used, member.used),
        leads=summary.leads and not member.leads,
        daemons=summary.daemons - 1,
        known_daemons=summary.known_daemons - 1,
        first_hosts=tuple(
            host for host in summary.first_hosts if host != member.host
        ),
        limits={
            target: limit.without(member.limits[target])
            if target in member.limits
            else limit
            for target, limit in summary.limits.items()
        },
        demand=without_part(summary.demand, member.demand),
        copied=dict(
            collections.Counter(summary.copied)
            - collections.Counter(member.copied)
        ),
    )


def _aged(received: ReceivedUpdate, now_s: float) -> LoadUpdate:
    """Return an update with the times that it contains moved to now."""
    update = received.update
    age_s = received.age_s(now_s)
    silence_age_s = update.silence_age_s
    return msgspec.structs.replace(
        update,
        faults=tuple(
            TargetFault(fault.target, round(fault.left_s - age_s, 2))
            for fault in update.faults
            if fault.left_s > age_s
        ),
        reassignments={
            engine: (start, stop, round(left_s - age_s, 1))
            for engine, (start, stop, left_s) in update.reassignments.items()
            if left_s > age_s
        },
        silence_age_s=(
            -1.0 if silence_age_s < 0 else round(silence_age_s + age_s, 2)
        ),
        limits={
            target: limit.aged(age_s) for target, limit in update.limits.items()
        },
    )


def _sum(mappings: Iterable[_Sums]) -> _Sums:
    total: _Sums = {}
    for mapping in mappings:
        for name, sums in mapping.items():
            known = total.get(name)
            total[name] = sums if known is None else _add(known, sums, 1)
    return total


def _sum_counts(updates: Iterable[LoadUpdate]) -> dict[str, int]:
    """Return the copies of slow requests that the updates tell, by pool."""
    total: collections.Counter[str] = collections.Counter()
    for update in updates:
        total.update(update.copied)
    return dict(total)


def _difference(sums: _Sums, part: _Sums) -> _Sums:
    """Return sums without a part that they contain."""
    left = dict(sums)
    for name, own in part.items():
        left[name] = _add(left[name], own, -1)
        if not any(left[name]):
            left.pop(name)
    return left


def _add(
    known: tuple[float, int, int], more: tuple[float, int, int], sign: int
) -> tuple[float, int, int]:
    return (
        known[0] + sign * more[0],
        known[1] + sign * more[1],
        known[2] + sign * more[2],
    )


def _merge_limits(updates: Sequence[LoadUpdate]) -> dict[str, LimitNews]:
    merged: dict[str, LimitNews] = {}
    for update in updates:
        for target, limit in update.limits.items():
            known = merged.get(target)
            merged[target] = limit if known is None else known.merged(limit)
    return merged


def _union_faults(updates: Sequence[LoadUpdate]) -> tuple[TargetFault, ...]:
    left_s: dict[str, float] = {}
    for update in updates:
        for fault in update.faults:
            known_s = left_s.get(fault.target, 0.0)
            left_s[fault.target] = max(known_s, fault.left_s)
    return tuple(TargetFault(target, left) for target, left in left_s.items())


def _union_notices(updates: Sequence[LoadUpdate]) -> tuple[Notice, ...]:
    notices = (notice for update in updates for notice in update.notices)
    return merge_notices(notices)[:_MAX_NOTICES]


def _newest_lease(updates: Sequence[LoadUpdate]) -> tuple[int, bytes] | None:
    return max(
        (update.lease for update in updates if update.lease is not None),
        default=None,
    )


def _newest_silence_s(updates: Sequence[LoadUpdate]) -> float:
    ages_s = (
        update.silence_age_s for update in updates if update.silence_age_s >= 0
    )
    return min(ages_s, default=-1.0)


def _newest_versions(updates: Sequence[LoadUpdate]) -> dict[str, int]:
    newest: dict[str, int] = {}
    for update in updates:
        for table, version in update.feeds.items():
            newest[table] = max(newest.get(table, 0), version)
    return newest
