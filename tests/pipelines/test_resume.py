"""Tests of event ids and of the judgement of losses."""

from __future__ import annotations

import unittest

from nutmegspoke.engine_protocol import RefusalKind, StepRefusal
from nutmegspoke.pipelines.carrier import LossKind, StepLost
from nutmegspoke.pipelines.decisions import ReplyDropped
from nutmegspoke.pipelines.losses import (
    MAX_LOSSES,
    LossPolicy,
    Remedy,
    may_have_run,
)
from nutmegspoke.pipelines.resume import (
    ResumePoint,
    ResumeSigner,
    fingerprint,
    stage_records,
)
from tests import builders_pipelines as build

_POINT = ResumePoint(
    stream_id='s1',
    fingerprint='f',
    attempt=3,
    position=12,
    count=4,
    last_token=9,
    digest='d',
    seed=7,
    stages=stage_records(build.CHAIN),
)


class EventIdTest(unittest.TestCase):
    """Only a daemon with the key makes event ids."""

    def test_round_trip(self) -> None:
        """Another daemon with the same key reads the same point."""
        event_id = ResumeSigner(build.SECRET).sign(_POINT)
        read = ResumeSigner(build.SECRET).read(event_id)
        self.assertEqual((read, read.chain), (_POINT, build.CHAIN))

    def test_any_change_is_noticed(self) -> None:
        """Each character counts, and so does the key."""
        signer = ResumeSigner(build.SECRET)
        event_id = signer.sign(_POINT)
        for place, character in enumerate(event_id[:-3]):
            other = 'A' if character != 'A' else 'B'
            changed = event_id[:place] + other + event_id[place + 1 :]
            self.assertIsNone(signer.read(changed), place)
        for text in ('', 'x', 'ä', event_id[:-4], event_id + 'AAAA'):
            self.assertIsNone(signer.read(text))
        self.assertIsNone(ResumeSigner('another key here').read(event_id))

    def test_fingerprint_tells_requests_apart(self) -> None:
        """Parts can't be moved from one field to the next."""
        made = {
            fingerprint('ab', 'c', 'd', 1),
            fingerprint('a', 'bc', 'd', 1),
            fingerprint('ab', 'c', 'd', 2),
            fingerprint('ab', '', 'cd', 1),
        }
        self.assertEqual(len(made), 4)


class LossPolicyTest(unittest.TestCase):
    """What each loss leads to."""

    def judge(self, lost: object, attempt: int = 1) -> Remedy:
        """Judge a first loss."""
        return LossPolicy(1).judge(lost, 'a', attempt)

    def test_remedies(self) -> None:
        """Every kind of loss has its remedy and its word on having run."""
        cases = {
            StepLost(LossKind.UNREACHABLE): (Remedy.REPLACE, False),
            StepLost(LossKind.RESET): (Remedy.REPLACE, True),
            StepLost(LossKind.CONNECTION_SILENT): (Remedy.RESEND, True),
            StepLost(LossKind.CONNECTION_RESET): (Remedy.RESEND, True),
            StepLost(LossKind.TARGET_SILENT): (Remedy.REPLACE, True),
            StepLost(LossKind.BAD_REPLY): (Remedy.REPLACE, True),
            ReplyDropped('other stream'): (Remedy.RESEND, True),
        }
        kinds = {lost.kind for lost in cases if isinstance(lost, StepLost)}
        self.assertEqual(kinds, set(LossKind))
        for lost, expected in cases.items():
            self.assertEqual((self.judge(lost), may_have_run(lost)), expected)
        refusals = {
            RefusalKind.CACHE_LENGTH: Remedy.RERUN,
            RefusalKind.OLD_ATTEMPT: Remedy.RERUN,
            RefusalKind.LAYERS: Remedy.REPLACE,
            RefusalKind.LEAVING: Remedy.REPLACE,
        }
        self.assertEqual(set(refusals), set(RefusalKind))
        for reason, remedy in refusals.items():
            refusal = StepRefusal(reason, 0, 2)
            self.assertEqual(self.judge(refusal), remedy)
            self.assertFalse(may_have_run(refusal))

    def test_a_stream_served_elsewhere_is_given_up(self) -> None:
        """Its attempts are of a later block."""
        refusal = StepRefusal(RefusalKind.OLD_ATTEMPT, 0, 64)
        self.assertEqual(self.judge(refusal), Remedy.GIVE_UP)

    def test_a_target_is_resent_to_once(self) -> None:
        """Silence on a new connection too is the target's fault."""
        judge = LossPolicy(1)
        silent = StepLost(LossKind.CONNECTION_SILENT)
        told = [judge.judge(silent, 'a', attempt) for attempt in (1, 2)]
        self.assertEqual(told, [Remedy.RESEND, Remedy.REPLACE])
        judge.note_progress()
        self.assertEqual(judge.judge(silent, 'a', 3), Remedy.RESEND)

    def test_losses_are_bounded(self) -> None:
        """By their number and by the block of attempts."""
        judge = LossPolicy(1)
        lost = StepLost(LossKind.RESET)
        told = [judge.judge(lost, 'a', 1) for _ in range(MAX_LOSSES + 1)]
        self.assertEqual(told[-2:], [Remedy.REPLACE, Remedy.GIVE_UP])
        self.assertEqual(self.judge(lost, attempt=63), Remedy.GIVE_UP)
