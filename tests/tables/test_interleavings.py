"""State machine test of operators, a failing store and daemons."""

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
    AcceptanceUnknown,
    Accepted,
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
    """A coroutine that the test advances one table service call at a time.

    :param outcome: what the coroutine returned, once it is done.
    :param pending: kind of the service call it waits for; empty if done.
    """

    coroutine: object
    outcome: object = None
    is_done: bool = False
    pending: str = ''

    def advance(self, fault: str | None) -> None:
        """Resume the coroutine until its next call of the table service.

        :param fault: how the service answers the pending call.
        """
        if self.is_done:
            return
        try:
            self.pending = self.coroutine.send(fault)
        except StopIteration as stop:
            self.outcome = stop.value
            self.is_done = True
            self.pending = ''

    def answer_reads(self) -> None:
        """Answer all reads up to the next commit."""
        while self.pending in {'read', 'scan'}:
            self.advance('ok')


@dataclasses.dataclass
class _Daemon:
    """A tracker with its pending read of the store, if any."""

    tracker: RevisionTracker
    asked_s: float = 0.0
    read: _Call | None = None
    highest_in_force: int = 0


class TablesMachine(RuleBasedStateMachine):
    """Checks all outcomes against the stored change records."""

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
        """Apply two routes."""
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
        """Start an operator's change of the tables.

        :param base: revision that the change is based on; ``None`` for the
            current one.
        :param is_quick: whether the reads before the commit are answered now.
        """
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
            call.answer_reads()

    @rule(number=st.integers(0, 2), faults=st.lists(_read_faults, max_size=5))
    def operator_reads(self, number: int, faults: list[str]) -> None:
        """Answer reads of an operator; with an odd count of faults, all."""
        call = self._find_operator(number, {'read', 'scan'})
        for fault in faults:
            if call and call.pending != 'commit':
                call.advance(fault)
        if call and len(faults) % 2:
            call.answer_reads()

    @rule(number=st.integers(0, 2), faults=st.lists(_commit_faults, min_size=1))
    def operator_commits(self, number: int, faults: list[str]) -> None:
        """Answer commits of an operator."""
        call = self._find_operator(number, {'commit'})
        for fault in faults:
            if call and call.pending == 'commit':
                call.advance(fault)
                call.answer_reads()

    @rule()
    def late_write_arrives(self) -> None:
        """Deliver a delayed transaction; it commits if its conditions hold."""
        if self.service.late:
            self.service.now.commit_now(self.service.late.pop(0))

    @rule()
    def save_stale_state(self) -> None:
        """Make this the state that stale reads return from now on."""
        self.service.old_rows = dict(self.service.now.rows)

    @rule(wait_s=st.sampled_from((0.5, 3.0, 60.0)))
    def time_passes(self, wait_s: float) -> None:
        """Advance the clock."""
        self.now_s += wait_s

    @rule(
        number=st.integers(0, 1),
        fault=_read_faults,
        steps=st.sampled_from((1, 2, 3)),
    )
    def daemon_reads(self, number: int, fault: str, steps: int) -> None:
        """Start or continue a daemon's read of the store."""
        daemon = self.daemons[number]
        if daemon.read is None:
            daemon.asked_s = self.now_s
            daemon.read = _Call(read_snapshot(self.service))
            daemon.read.advance(None)
        for step in range(steps):
            daemon.read.advance(fault if step == 0 or fault == 'old' else 'ok')
        if daemon.read.is_done:
            self._process_read(daemon, daemon.read.outcome)
            daemon.read = None

    @rule()
    def peers_pass_tables_on(self) -> None:
        """Offer each daemon's tables to the other daemon."""
        first, second = self.daemons
        for sender, receiver in ((first, second), (second, first)):
            tables = sender.tracker.current
            receiver.tracker.offer(tables, Source.PEER, self.now_s)

    @invariant()
    def guarantees_hold(self) -> None:
        """Check the records, then the outcomes and the tables in force."""
        self._check_change_records()
        self._check_operator_outcomes()
        self._check_revisions_rise()
        self._check_confirmations_are_recent()

    def _find_operator(self, number: int, pending: set[str]) -> _Call | None:
        calls = [
            call for call in self.operators.values() if call.pending in pending
        ]
        return calls[number % len(calls)] if calls else None

    def _check_change_records(self) -> None:
        """Each revision has one record; together they yield the rows."""
        rows = self.service.now.rows
        highest_revision = codec.decode_revision(
            rows[codec.REVISION_KEY].body
            if codec.REVISION_KEY in rows
            else b'',
        )
        while len(self.revision_times) <= highest_revision:
            self.revision_times.append(self.now_s)
        bodies: dict[str, bytes] = {}
        self.history = [Tables()]
        self.accepted: list[str] = []
        for revision in range(1, highest_revision + 1):
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

    def _check_operator_outcomes(self) -> None:
        """A change is accepted at most once, as its outcome reports."""
        for change_id, call in self.operators.items():
            count = self.accepted.count(change_id)
            assert count <= 1
            if call.is_done and not isinstance(call.outcome, AcceptanceUnknown):
                is_accepted = isinstance(call.outcome, Accepted)
                assert count == int(is_accepted), (change_id, call.outcome)

    def _check_revisions_rise(self) -> None:
        """Tables in force were accepted, and their revision never falls."""
        for daemon in self.daemons:
            current = daemon.tracker.current
            assert current.revision >= daemon.highest_in_force
            daemon.highest_in_force = current.revision
            assert current == self.history[current.revision]

    def _check_confirmations_are_recent(self) -> None:
        """A confirmed daemon has all changes older than the limit."""
        for daemon in self.daemons:
            if not daemon.tracker.is_confirmed(self.now_s):
                continue
            following = daemon.tracker.current.revision + 1
            if following < len(self.revision_times):
                age_s = self.now_s - self.revision_times[following]
                assert age_s <= _CONFIRMATION_S

    def _process_read(self, daemon: _Daemon, outcome: object) -> None:
        if not isinstance(outcome, TablesSnapshot):
            return
        revision = outcome.tables.revision
        daemon.tracker.offer(outcome.tables, Source.STORE, self.now_s)
        is_old = self._is_older(revision, daemon.asked_s)
        if is_old and revision == daemon.tracker.highest_known_revision:
            return  # A stale read of the highest revision would look fresh.
        daemon.tracker.confirm(revision, daemon.asked_s)

    def _is_older(self, revision: int, asked_s: float) -> bool:
        """Return whether the read missed a revision older than the request."""
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
    """Run the state machine."""
