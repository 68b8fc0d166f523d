"""Operators, a failing store and daemons in any interleaving."""

from __future__ import annotations

import dataclasses
import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from nutmegspoke.border.apply import (
    Accepted,
    AcceptanceUnknown,
    apply_tables,
)
from nutmegspoke.border.table_reads import read_snapshot
from nutmegspoke.tables import changes, codec
from nutmegspoke.tables.revisions import (
    RevisionLimits,
    RevisionTracker,
    Source,
)
from nutmegspoke.tables.rows import Tables
from nutmegspoke.tables.snapshot import TablesSnapshot, decode_bodies
from tests import builders_tables as build

_CONFIRMATION_S = 8.0
_names = st.sampled_from(('a', 'b'))
_read_faults = st.sampled_from(('ok', 'ok', 'ok', 'down', 'old'))
_commit_faults = st.sampled_from(
    ('ok', 'ok', 'down', 'answer lost', 'lost', 'late'),
)


@dataclasses.dataclass
class _Call:
    """A coroutine on its way."""

    coroutine: object
    told: object = None
    is_done: bool = False
    pending: str = ''

    def advance(self, fault: str | None) -> None:
        """Let it go on to its next call of the table service."""
        if self.is_done:
            return
        try:
            self.pending = self.coroutine.send(fault)
        except StopIteration as stop:
            self.told = stop.value
            self.is_done = True
            self.pending = ''

    def read_on(self) -> None:
        """Answer every read up to the next commit."""
        while self.pending in {'read', 'scan'}:
            self.advance('ok')


@dataclasses.dataclass
class _Daemon:
    """A tracker and the read that it has under way."""

    tracker: RevisionTracker
    asked_s: float = 0.0
    read: _Call | None = None
    highest_seen: int = 0


class TablesMachine(RuleBasedStateMachine):
    """Checks every outcome against the log of changes."""

    def __init__(self) -> None:
        """Start with an empty store and two daemons."""
        super().__init__()
        self.service = build.SteppedTableService()
        self.operators: dict[str, _Call] = {}
        self.daemons = [
            _Daemon(RevisionTracker(RevisionLimits(_CONFIRMATION_S)))
            for _ in range(2)
        ]
        self.now_s = 0.0
        self.revision_times: list[float] = [0.0]

    @initialize()
    def first_apply(self) -> None:
        """Two routes are in force."""
        self.begin_apply({'a': 0, 'b': 0}, None, is_quick=True)
        self.operator_commits(0, ['ok'])
        self.time_passes(1.0)

    @rule(
        routes=st.dictionaries(_names, st.integers(0, 2), max_size=2),
        base=st.sampled_from((None, None, None, 1, 2)),
        is_quick=st.sampled_from((True, True, True, False)),
    )
    def begin_apply(
        self,
        routes: dict[str, int],
        base: int | None,
        is_quick: bool,
    ) -> None:
        """An operator sends a file."""
        change_id = f'change-{len(self.operators)}'
        wanted = build.build_tables(
            *(
                build.build_route(name, priority=priority)
                for name, priority in routes.items()
            ),
        )
        call = _Call(
            apply_tables(
                self.service,
                wanted,
                build.build_author(change_id=change_id),
                base,
                build.no_pause,
            ),
        )
        call.advance(None)
        self.operators[change_id] = call
        if is_quick:
            call.read_on()

    @rule(number=st.integers(0, 2), faults=st.lists(_read_faults, max_size=5))
    def operator_reads(self, number: int, faults: list[str]) -> None:
        """One of the operators gets some answers, then all that it reads."""
        call = self._operator(number, {'read', 'scan'})
        for fault in faults:
            if call and call.pending != 'commit':
                call.advance(fault)
        if call and len(faults) % 2:
            call.read_on()

    @rule(number=st.integers(0, 2), faults=st.lists(_commit_faults, min_size=1))
    def operator_commits(self, number: int, faults: list[str]) -> None:
        """One of the operators gets the answers of some commits."""
        call = self._operator(number, {'commit'})
        for fault in faults:
            if call and call.pending == 'commit':
                call.advance(fault)
                call.read_on()

    @rule()
    def late_write_arrives(self) -> None:
        """A write in doubt takes effect after all, if it still can."""
        if self.service.late:
            self.service.now.commit_now(self.service.late.pop(0))

    @rule()
    def store_remembers(self) -> None:
        """Old reads show this state from now on."""
        self.service.old_rows = dict(self.service.now.rows)

    @rule(wait_s=st.sampled_from((0.5, 3.0, 60.0)))
    def time_passes(self, wait_s: float) -> None:
        """Nothing happens for a while."""
        self.now_s += wait_s

    @rule(
        number=st.integers(0, 1),
        fault=_read_faults,
        steps=st.sampled_from((1, 2, 3)),
    )
    def daemon_reads(self, number: int, fault: str, steps: int) -> None:
        """A daemon polls the store, or goes on with its poll."""
        daemon = self.daemons[number]
        if daemon.read is None:
            daemon.asked_s = self.now_s
            daemon.read = _Call(read_snapshot(self.service))
            daemon.read.advance(None)
        for step in range(steps):
            daemon.read.advance(fault if step == 0 or fault == 'old' else 'ok')
        if daemon.read.is_done:
            self._take(daemon, daemon.read.told)
            daemon.read = None

    @rule()
    def peers_pass_tables_on(self) -> None:
        """Each daemon offers its tables to the other one."""
        first, second = self.daemons
        for giver, taker in ((first, second), (second, first)):
            tables = giver.tracker.current
            taker.tracker.offer(tables, Source.PEER, self.now_s)

    @invariant()
    def promises_hold(self) -> None:
        """Check the log first, then what was told and what is in force."""
        self._log_is_whole()
        self._operators_are_told_the_truth()
        self._daemons_never_go_back()
        self._confirmed_means_recent()

    def _operator(self, number: int, pending: set[str]) -> _Call | None:
        calls = [
            call for call in self.operators.values() if call.pending in pending
        ]
        return calls[number % len(calls)] if calls else None

    def _log_is_whole(self) -> None:
        """Each revision has one record, and they add up to the rows."""
        rows = self.service.now.rows
        head = codec.decode_revision(
            rows[codec.REVISION_KEY].body
            if codec.REVISION_KEY in rows
            else b'',
        )
        while len(self.revision_times) <= head:
            self.revision_times.append(self.now_s)
        bodies: dict[str, bytes] = {}
        self.history = [Tables()]
        self.accepted: list[str] = []
        for revision in range(1, head + 1):
            body = rows[changes.change_key(revision)].body
            record = changes.decode_change(body)
            for row in record.rows:
                assert bodies.get(row.key) == row.before, 'an update was lost'
            bodies = changes.bodies_after(bodies, record.rows)
            self.history.append(decode_bodies(revision, bodies))
            self.accepted.append(record.change_id)
        stored = {
            key: row.body
            for key, row in rows.items()
            if key.startswith((codec.ROUTE_PREFIX, codec.POOL_PREFIX))
        }
        assert stored == bodies

    def _operators_are_told_the_truth(self) -> None:
        """Accepted once, or never; only unknown may be either."""
        for change_id, call in self.operators.items():
            count = self.accepted.count(change_id)
            assert count <= 1
            if call.is_done and not isinstance(call.told, AcceptanceUnknown):
                is_accepted = isinstance(call.told, Accepted)
                assert count == int(is_accepted), (change_id, call.told)

    def _daemons_never_go_back(self) -> None:
        """What is in force was accepted, and its revision only rises."""
        for daemon in self.daemons:
            current = daemon.tracker.current
            assert current.revision >= daemon.highest_seen
            daemon.highest_seen = current.revision
            assert current == self.history[current.revision]

    def _confirmed_means_recent(self) -> None:
        """A confirmed daemon had every change older than the limit."""
        for daemon in self.daemons:
            if not daemon.tracker.is_confirmed(self.now_s):
                continue
            following = daemon.tracker.current.revision + 1
            if following < len(self.revision_times):
                age_s = self.now_s - self.revision_times[following]
                assert age_s <= _CONFIRMATION_S

    def _take(self, daemon: _Daemon, told: object) -> None:
        if not isinstance(told, TablesSnapshot):
            return
        revision = told.tables.revision
        daemon.tracker.offer(told.tables, Source.STORE, self.now_s)
        is_old = self._is_older(revision, daemon.asked_s)
        if is_old and revision == daemon.tracker.highest_known_revision:
            return  # An old read of the very revision in force looks fresh.
        daemon.tracker.confirm(revision, daemon.asked_s)

    def _is_older(self, revision: int, asked_s: float) -> bool:
        """Tell whether the store showed less than it had when asked."""
        following = revision + 1
        return (
            following < len(self.revision_times)
            and self.revision_times[following] < asked_s
        )


TablesMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=50,
)


class InterleavingsTest(TablesMachine.TestCase, unittest.TestCase):
    """Runs the machine."""
