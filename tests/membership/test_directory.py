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

_LEAVING_REPORTS = {
    Source.HOST_LIST: lambda directory, now_s: directory.apply_hosts(
        (build.host(state=HostState.LEAVING),),
        now_s,
    )[0],
    Source.REFUSAL: lambda directory, now_s: directory.refused_as_leaving(
        build.ADDRESS,
        now_s,
    ),
    Source.LOAD_REPORT: lambda directory, now_s: directory.load_reported(
        build.ADDRESS,
        build.report(leaving=True),
        now_s,
        now_s,
    ),
    Source.PEER: lambda directory, now_s: directory.peer_reported_leaving(
        LeavingNote(build.ADDRESS, '', 0.1),
        now_s,
    ),
}


def _states(directory: Directory, now_s: float) -> list[TargetState]:
    return [target.state for target in directory.members(build.POOL, now_s)]


def _report(directory: Directory, now_s: float, start_id: str = '') -> None:
    answer = build.report(start_id=start_id)
    directory.load_reported(build.ADDRESS, answer, now_s, now_s)


class SelectionTest(unittest.TestCase):
    """Selection of the members of a pool."""

    def test_joins_selector_and_hand_list(self) -> None:
        """A target in the row that also matches the selector is listed once."""
        directory = build.directory(
            build.host(),
            build.host(build.OTHER_ADDRESS, selector='other'),
            pool=build.engine_pool(targets=('127.0.0.1:9', build.ADDRESS)),
        )
        addresses = [
            target.address for target in directory.members(build.POOL, 0.0)
        ]
        self.assertEqual(addresses, ['127.0.0.1:9', build.ADDRESS])
        self.assertEqual(
            directory.polled_addresses(0.0), (build.ADDRESS, '127.0.0.1:9')
        )
        self.assertEqual(directory.usable('none', 0.0), ())

    def test_an_engine_must_hold_the_pool_model(self) -> None:
        """An engine with another model or without layers is not usable."""
        directory = build.directory(build.host())
        empty = build.report(layers=(0, 0))
        self.assertEqual(len(directory.usable(build.POOL, 0.0)), 1)
        directory.load_reported(build.ADDRESS, empty, 1.0, 1.0)
        self.assertEqual(directory.usable(build.POOL, 1.0), ())

    def test_a_service_needs_no_model(self) -> None:
        """A service has neither layers nor a model."""
        row = PoolRow('mail', PoolKind.SERVICE, targets=(build.ADDRESS,))
        directory = build.directory(pool=row)
        self.assertEqual(len(directory.usable('mail', 0.0)), 1)

    def test_counts_own_work_against_the_report(self) -> None:
        """Requests sent before a report was requested are included in it."""
        directory = build.directory(build.host())
        for started_s in (1.0, 1.2, 1.4):
            directory.work_started(build.ADDRESS, started_s)
        directory.work_finished(build.ADDRESS)
        answer = build.report(in_flight=7)
        directory.load_reported(build.ADDRESS, answer, 1.3, 1.5)
        (target,) = directory.usable(build.POOL, 1.5)
        self.assertEqual(target.own_in_flight, 2)
        self.assertEqual(target.sent_since_report, 1)
        self.assertEqual(target.reported_in_flight, 7)
        self.assertEqual(target.reported_at_s, 1.5)

    def test_hardware_values_of_the_report_are_returned(self) -> None:
        """The routing policies use these values."""
        (target,) = build.directory(build.host()).usable(build.POOL, 0.0)
        self.assertEqual(target.layer_tokens_per_s, 100.0)
        self.assertEqual(target.link_bytes_per_s, 50.0)
        self.assertEqual(target.activation_bytes, 16)
        self.assertEqual(target.availability_zone, 'pnw-1')


class LeavingTest(unittest.TestCase):
    """Leaving targets, reported by each source."""

    def test_each_source_is_enough_and_lasts(self) -> None:
        """Guards against a mark cleared by a lagging host list or report."""
        for source, report_leaving in _LEAVING_REPORTS.items():
            with self.subTest(source=source):
                directory = build.directory(build.host())
                change = report_leaving(directory, 1.0)
                self.assertEqual(change.source, source)
                self.assertEqual(change.state, TargetState.LEAVING)
                directory.apply_hosts((build.host(),), 2.0)
                _report(directory, 2.0)
                self.assertEqual(directory.usable(build.POOL, 2.0), ())
                self.assertEqual(
                    _states(directory, 2.0),
                    [TargetState.LEAVING],
                )

    def test_the_operator_takes_out_by_name_or_address(self) -> None:
        """A target listed as leaving in the pool row is not usable."""
        for name in (build.ADDRESS, 'engine-7001'):
            directory = build.directory(build.host())
            row = build.engine_pool(leaving=(name,))
            directory.apply_tables(Tables(2, (), (row,)))
            self.assertEqual(directory.usable(build.POOL, 0.0), ())
            directory.apply_tables(Tables(3, (), (build.engine_pool(),)))
            self.assertEqual(len(directory.usable(build.POOL, 0.0)), 1)

    def test_returns_when_listed_after_an_absence(self) -> None:
        """An absence that began after the mark shows a restart."""
        for source, report_leaving in _LEAVING_REPORTS.items():
            with self.subTest(source=source):
                directory = build.directory(build.host())
                report_leaving(directory, 1.0)
                directory.apply_hosts((), 2.0)
                directory.apply_hosts((build.host(),), 3.0)
                self.assertEqual(directory.usable(build.POOL, 3.0), ())
                _report(directory, 3.5)
                self.assertEqual(len(directory.usable(build.POOL, 3.5)), 1)

    def test_an_older_absence_undoes_nothing(self) -> None:
        """Guards against a lagging list that clears a later mark."""
        directory = build.directory(build.host())
        directory.apply_hosts((), 1.0)
        directory.refused_as_leaving(build.ADDRESS, 2.0)
        directory.apply_hosts((build.host(),), 3.0)
        _report(directory, 3.5)
        self.assertEqual(directory.usable(build.POOL, 3.5), ())

    def test_a_known_start_id_decides_against_the_list(self) -> None:
        """A report with the same start id keeps the mark despite the list."""
        directory = build.directory(build.host(), start_id='a')
        directory.refused_as_leaving(build.ADDRESS, 1.0)
        directory.apply_hosts((), 2.0)
        directory.apply_hosts((build.host(),), 3.0)
        _report(directory, 3.5, start_id='a')
        self.assertEqual(directory.usable(build.POOL, 3.5), ())
        _report(directory, 4.0, start_id='b')
        self.assertEqual(len(directory.usable(build.POOL, 4.0)), 1)

    def test_an_end_of_the_process_shows_a_fresh_start(self) -> None:
        """A refused connection shows a restart only after the mark."""
        for refused_s, is_back in ((0.5, False), (1.5, True)):
            directory = build.directory(build.host())
            if not is_back:
                directory.connection_failed(
                    build.ADDRESS,
                    refused_s,
                    refused=True,
                )
                _report(directory, 0.8)
            directory.refused_as_leaving(build.ADDRESS, 1.0)
            directory.connection_failed(build.ADDRESS, 1.5, refused=is_back)
            _report(directory, 2.0)
            self.assertEqual(bool(directory.usable(build.POOL, 2.0)), is_back)

    def test_a_peer_report_of_an_earlier_start_is_ignored(self) -> None:
        """It is recognized by its start id or by its age."""
        directory = build.directory(build.host(), start_id='b')
        old = LeavingNote(build.ADDRESS, 'a', 0.1)
        self.assertIsNone(directory.peer_reported_leaving(old, 1.0))
        directory = build.directory(build.host())
        directory.refused_as_leaving(build.ADDRESS, 1.0)
        directory.apply_hosts((), 2.0)
        directory.apply_hosts((build.host(),), 3.0)
        old = LeavingNote(build.ADDRESS, '', 2.0)
        self.assertIsNone(directory.peer_reported_leaving(old, 4.0))
        self.assertIsNotNone(directory.peer_reported_leaving(old, 6.0))

    def test_notes_for_peers_keep_their_age(self) -> None:
        """A forwarded note keeps its age and expires."""
        directory = build.directory(build.host())
        directory.peer_reported_leaving(
            LeavingNote(build.ADDRESS, 'a', 4.0), 5.0
        )
        self.assertEqual(
            directory.leaving_notes(6.0),
            (LeavingNote(build.ADDRESS, 'a', 5.0),),
        )
        self.assertEqual(directory.leaving_notes(12.0), ())

    def test_an_older_reading_of_the_list_is_ignored(self) -> None:
        """Guards against readings that arrive out of order."""
        directory = build.directory(build.host(), now_s=5.0)
        leaving = build.host(state=HostState.LEAVING)
        self.assertEqual(directory.apply_hosts((leaving,), 4.0), ())
        self.assertEqual(len(directory.usable(build.POOL, 5.0)), 1)

    def test_forgets_what_is_long_absent(self) -> None:
        """Guards against records that are never removed."""
        directory = build.directory(build.host())
        directory.apply_hosts((), 1.0)
        directory.apply_hosts((), 100.0)
        self.assertEqual(directory._records, {})


class ReachableTest(unittest.TestCase):
    """Targets that are gone, silent or without a recent report."""

    def test_a_failed_connection_takes_it_out_until_it_answers(self) -> None:
        """A report requested before the failure is ignored."""
        for refused in (True, False):
            directory = build.directory(build.host())
            directory.connection_failed(build.ADDRESS, 1.0, refused=refused)
            self.assertEqual(_states(directory, 1.0), [TargetState.GONE])
            answer = build.report()
            directory.load_reported(build.ADDRESS, answer, 0.9, 1.1)
            self.assertEqual(_states(directory, 1.1), [TargetState.GONE])
            _report(directory, 1.2)
            self.assertEqual(_states(directory, 1.2), [TargetState.LIVE])

    def test_a_silent_reused_connection_changes_nothing(self) -> None:
        """Only a timeout on a new connection makes the target suspect."""
        directory = build.directory(build.host())
        directory.connection_silent(build.ADDRESS, 1.0, is_new=False)
        self.assertEqual(_states(directory, 1.0), [TargetState.LIVE])
        directory.connection_silent(build.ADDRESS, 1.1, is_new=True)
        self.assertEqual(_states(directory, 1.1), [TargetState.SUSPECT])
        _report(directory, 1.2)
        self.assertEqual(_states(directory, 1.2), [TargetState.LIVE])

    def test_an_old_report_sends_no_work(self) -> None:
        """Guards against work sent by outdated reports after a freeze."""
        directory = build.directory(build.host())
        self.assertEqual(len(directory.usable(build.POOL, 2.5)), 1)
        self.assertEqual(directory.usable(build.POOL, 2.6), ())
        late = build.report()
        directory.load_reported(build.ADDRESS, late, 0.1, 60.0)
        self.assertEqual(directory.usable(build.POOL, 60.0), ())
