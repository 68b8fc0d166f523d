"""Tests of the target directory."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from nutmegspoke.membership.states import LeavingNote, Source
from nutmegspoke.metadata_store import HostState
from nutmegspoke.tables.rows import PoolKind, PoolRow, Tables
from nutmegspoke.targets import TargetState
from tests import builders_membership as build

if TYPE_CHECKING:
    from nutmegspoke.membership.directory import Directory

_MARKS = {
    Source.HOST_LIST: lambda known, now_s: known.apply_hosts(
        (build.host(state=HostState.LEAVING),),
        now_s,
    )[0],
    Source.REFUSAL: lambda known, now_s: known.refused_as_leaving(
        build.ADDRESS,
        now_s,
    ),
    Source.LOAD_REPORT: lambda known, now_s: known.load_reported(
        build.ADDRESS,
        build.report(leaving=True),
        now_s,
        now_s,
    ),
    Source.PEER: lambda known, now_s: known.peer_reported_leaving(
        LeavingNote(build.ADDRESS, '', 0.1),
        now_s,
    ),
}


def _states(known: Directory, now_s: float) -> list[TargetState]:
    return [target.state for target in known.members(build.POOL, now_s)]


def _report(known: Directory, now_s: float, start_id: str = '') -> None:
    answer = build.report(start_id=start_id)
    known.load_reported(build.ADDRESS, answer, now_s, now_s)


class SelectionTest(unittest.TestCase):
    """Members of a pool."""

    def test_joins_selector_and_hand_list(self) -> None:
        """A target listed both ways is a member once."""
        known = build.directory(
            build.host(),
            build.host(build.OTHER_ADDRESS, selector='other'),
            pool=build.engine_pool(targets=('127.0.0.1:9', build.ADDRESS)),
        )
        addresses = [
            target.address for target in known.members(build.POOL, 0.0)
        ]
        self.assertEqual(addresses, ['127.0.0.1:9', build.ADDRESS])
        self.assertEqual(
            known.polled_addresses(0.0), (build.ADDRESS, '127.0.0.1:9')
        )
        self.assertEqual(known.usable('none', 0.0), ())

    def test_an_engine_must_hold_the_pool_model(self) -> None:
        """Another model or an empty layer range takes no work."""
        known = build.directory(build.host())
        empty = build.report(layers=(0, 0))
        self.assertEqual(len(known.usable(build.POOL, 0.0)), 1)
        known.load_reported(build.ADDRESS, empty, 1.0, 1.0)
        self.assertEqual(known.usable(build.POOL, 1.0), ())

    def test_a_service_needs_no_model(self) -> None:
        """A service has neither layers nor a model."""
        row = PoolRow('mail', PoolKind.SERVICE, targets=(build.ADDRESS,))
        known = build.directory(pool=row)
        self.assertEqual(len(known.usable('mail', 0.0)), 1)

    def test_counts_own_work_against_the_report(self) -> None:
        """Work sent before a report was asked for is in that report."""
        known = build.directory(build.host())
        for started_s in (1.0, 1.2, 1.4):
            known.work_started(build.ADDRESS, started_s)
        known.work_finished(build.ADDRESS)
        answer = build.report(in_flight=7)
        known.load_reported(build.ADDRESS, answer, 1.3, 1.5)
        (target,) = known.usable(build.POOL, 1.5)
        self.assertEqual(target.own_in_flight, 2)
        self.assertEqual(target.sent_since_report, 1)
        self.assertEqual(target.reported_in_flight, 7)
        self.assertEqual(target.reported_at_s, 1.5)

    def test_passes_on_what_the_report_says_of_the_hardware(self) -> None:
        """The policies weigh engines and links by it."""
        (target,) = build.directory(build.host()).usable(build.POOL, 0.0)
        self.assertEqual(target.layer_tokens_per_s, 100.0)
        self.assertEqual(target.link_bytes_per_s, 50.0)
        self.assertEqual(target.activation_bytes, 16)
        self.assertEqual(target.availability_zone, 'pnw-1')


class LeavingTest(unittest.TestCase):
    """Leaving targets, by each source."""

    def test_each_source_is_enough_and_lasts(self) -> None:
        """A lagging host list and lagging reports undo no mark."""
        for source, mark in _MARKS.items():
            with self.subTest(source=source):
                known = build.directory(build.host())
                change = mark(known, 1.0)
                self.assertEqual(change.source, source)
                self.assertEqual(change.state, TargetState.LEAVING)
                known.apply_hosts((build.host(),), 2.0)
                _report(known, 2.0)
                self.assertEqual(known.usable(build.POOL, 2.0), ())
                self.assertEqual(
                    _states(known, 2.0),
                    [TargetState.LEAVING],
                )

    def test_the_operator_takes_out_by_name_or_address(self) -> None:
        """The operator's word holds as long as the row says so."""
        for name in (build.ADDRESS, 'engine-7001'):
            known = build.directory(build.host())
            row = build.engine_pool(leaving=(name,))
            known.apply_tables(Tables(2, (), (row,)))
            self.assertEqual(known.usable(build.POOL, 0.0), ())
            known.apply_tables(Tables(3, (), (build.engine_pool(),)))
            self.assertEqual(len(known.usable(build.POOL, 0.0)), 1)

    def test_returns_when_listed_after_an_absence(self) -> None:
        """Only an absence that began after the mark shows a fresh start."""
        for source, mark in _MARKS.items():
            with self.subTest(source=source):
                known = build.directory(build.host())
                mark(known, 1.0)
                known.apply_hosts((), 2.0)
                known.apply_hosts((build.host(),), 3.0)
                self.assertEqual(known.usable(build.POOL, 3.0), ())
                _report(known, 3.5)
                self.assertEqual(len(known.usable(build.POOL, 3.5)), 1)

    def test_an_older_absence_undoes_nothing(self) -> None:
        """The list lags: it shows an earlier start, not a new one."""
        known = build.directory(build.host())
        known.apply_hosts((), 1.0)
        known.refused_as_leaving(build.ADDRESS, 2.0)
        known.apply_hosts((build.host(),), 3.0)
        _report(known, 3.5)
        self.assertEqual(known.usable(build.POOL, 3.5), ())

    def test_a_known_start_id_decides_against_the_list(self) -> None:
        """The same start id is the same start, whatever the list shows."""
        known = build.directory(build.host(), start_id='a')
        known.refused_as_leaving(build.ADDRESS, 1.0)
        known.apply_hosts((), 2.0)
        known.apply_hosts((build.host(),), 3.0)
        _report(known, 3.5, start_id='a')
        self.assertEqual(known.usable(build.POOL, 3.5), ())
        _report(known, 4.0, start_id='b')
        self.assertEqual(len(known.usable(build.POOL, 4.0)), 1)

    def test_an_end_of_the_process_shows_a_fresh_start(self) -> None:
        """A refused connection counts only after the mark."""
        for refused_s, is_back in ((0.5, False), (1.5, True)):
            known = build.directory(build.host())
            if not is_back:
                known.connection_failed(
                    build.ADDRESS,
                    refused_s,
                    refused=True,
                )
                _report(known, 0.8)
            known.refused_as_leaving(build.ADDRESS, 1.0)
            known.connection_failed(build.ADDRESS, 1.5, refused=is_back)
            _report(known, 2.0)
            self.assertEqual(bool(known.usable(build.POOL, 2.0)), is_back)

    def test_a_peer_speaking_of_an_earlier_start_is_not_heard(self) -> None:
        """Neither by start id nor by time does an old word count."""
        known = build.directory(build.host(), start_id='b')
        old = LeavingNote(build.ADDRESS, 'a', 0.1)
        self.assertIsNone(known.peer_reported_leaving(old, 1.0))
        known = build.directory(build.host())
        known.refused_as_leaving(build.ADDRESS, 1.0)
        known.apply_hosts((), 2.0)
        known.apply_hosts((build.host(),), 3.0)
        old = LeavingNote(build.ADDRESS, '', 2.0)
        self.assertIsNone(known.peer_reported_leaving(old, 4.0))
        self.assertIsNotNone(known.peer_reported_leaving(old, 6.0))

    def test_notes_for_peers_keep_their_age(self) -> None:
        """A word that is passed on grows old and then is not passed on."""
        known = build.directory(build.host())
        known.peer_reported_leaving(LeavingNote(build.ADDRESS, 'a', 4.0), 5.0)
        self.assertEqual(
            known.leaving_notes(6.0),
            (LeavingNote(build.ADDRESS, 'a', 5.0),),
        )
        self.assertEqual(known.leaving_notes(12.0), ())

    def test_an_older_reading_of_the_list_is_ignored(self) -> None:
        """Readings that come late and out of order change nothing."""
        known = build.directory(build.host(), now_s=5.0)
        leaving = build.host(state=HostState.LEAVING)
        self.assertEqual(known.apply_hosts((leaving,), 4.0), ())
        self.assertEqual(len(known.usable(build.POOL, 5.0)), 1)

    def test_forgets_what_is_long_absent(self) -> None:
        """An address that left for good takes no memory."""
        known = build.directory(build.host())
        known.apply_hosts((), 1.0)
        known.apply_hosts((), 100.0)
        self.assertEqual(known._records, {})


class ReachableTest(unittest.TestCase):
    """Targets that are gone, silent or not heard of."""

    def test_a_failed_connection_takes_it_out_until_it_answers(self) -> None:
        """A report that was asked for before the failure proves nothing."""
        for refused in (True, False):
            known = build.directory(build.host())
            known.connection_failed(build.ADDRESS, 1.0, refused=refused)
            self.assertEqual(_states(known, 1.0), [TargetState.GONE])
            answer = build.report()
            known.load_reported(build.ADDRESS, answer, 0.9, 1.1)
            self.assertEqual(_states(known, 1.1), [TargetState.GONE])
            _report(known, 1.2)
            self.assertEqual(_states(known, 1.2), [TargetState.LIVE])

    def test_silence_of_an_old_connection_blames_nobody(self) -> None:
        """Only a new connection's silence makes the target suspect."""
        known = build.directory(build.host())
        known.connection_silent(build.ADDRESS, 1.0, is_new=False)
        self.assertEqual(_states(known, 1.0), [TargetState.LIVE])
        known.connection_silent(build.ADDRESS, 1.1, is_new=True)
        self.assertEqual(_states(known, 1.1), [TargetState.SUSPECT])
        _report(known, 1.2)
        self.assertEqual(_states(known, 1.2), [TargetState.LIVE])

    def test_an_old_report_sends_no_work(self) -> None:
        """After a freeze nothing is sent on what was known before."""
        known = build.directory(build.host())
        self.assertEqual(len(known.usable(build.POOL, 2.5)), 1)
        self.assertEqual(known.usable(build.POOL, 2.6), ())
        late = build.report()
        known.load_reported(build.ADDRESS, late, 0.1, 60.0)
        self.assertEqual(known.usable(build.POOL, 60.0), ())
