"""Tests of event ids and of the policy for losses."""

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
    """Event ids are valid only if signed with the shared secret."""

    def test_round_trip(self) -> None:
        """Another daemon with the same secret decodes the same point."""
        event_id = ResumeSigner(build.SECRET).sign(_POINT)
        read = ResumeSigner(build.SECRET).read(event_id)
        self.assertEqual((read, read.chain), (_POINT, build.CHAIN))

    def test_any_change_is_noticed(self) -> None:
        """A changed character or another secret makes an event id invalid."""
        signer = ResumeSigner(build.SECRET)
        event_id = signer.sign(_POINT)
        for index, character in enumerate(event_id[:-3]):
            other = 'A' if character != 'A' else 'B'
            changed = event_id[:index] + other + event_id[index + 1 :]
            self.assertIsNone(signer.read(changed), index)
        for text in ('', 'x', 'ä', event_id[:-4], event_id + 'AAAA'):
            self.assertIsNone(signer.read(text))
        self.assertIsNone(ResumeSigner('another key here').read(event_id))

    def test_fingerprint_tells_requests_apart(self) -> None:
        """Text that moves from one field to another changes the digest."""
        digests = {
            fingerprint('ab', 'c', 'd', 1),
            fingerprint('a', 'bc', 'd', 1),
            fingerprint('ab', 'c', 'd', 2),
            fingerprint('ab', '', 'cd', 1),
        }
        self.assertEqual(len(digests), 4)


class LossPolicyTest(unittest.TestCase):
    """The remedy of each loss."""

    def choose_remedy(self, lost: object, attempt: int = 1) -> Remedy:
        """Return the remedy of a first loss."""
        return LossPolicy(1).choose_remedy(lost, 'a', attempt)

    def test_remedies(self) -> None:
        """Every kind of loss has a remedy, and may or may not have run."""
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
            self.assertEqual(
                (self.choose_remedy(lost), may_have_run(lost)), expected
            )
        refusals = {
            RefusalKind.CACHE_LENGTH: Remedy.RERUN,
            RefusalKind.OLD_ATTEMPT: Remedy.RERUN,
            RefusalKind.LAYERS: Remedy.REPLACE,
            RefusalKind.LEAVING: Remedy.REPLACE,
        }
        self.assertEqual(set(refusals), set(RefusalKind))
        for reason, remedy in refusals.items():
            refusal = StepRefusal(reason, 0, 2)
            self.assertEqual(self.choose_remedy(refusal), remedy)
            self.assertFalse(may_have_run(refusal))

    def test_a_stream_served_elsewhere_is_given_up(self) -> None:
        """An engine that knows a later block of attempts ends the run."""
        refusal = StepRefusal(RefusalKind.OLD_ATTEMPT, 0, 64)
        self.assertEqual(self.choose_remedy(refusal), Remedy.GIVE_UP)

    def test_a_target_is_resent_to_once(self) -> None:
        """Silence on a new connection too is a fault of the target."""
        policy = LossPolicy(1)
        silent = StepLost(LossKind.CONNECTION_SILENT)
        remedies = [
            policy.choose_remedy(silent, 'a', attempt) for attempt in (1, 2)
        ]
        self.assertEqual(remedies, [Remedy.RESEND, Remedy.REPLACE])
        policy.note_progress()
        self.assertEqual(policy.choose_remedy(silent, 'a', 3), Remedy.RESEND)

    def test_losses_are_bounded(self) -> None:
        """The number of losses and the block of attempts limit the remedies."""
        policy = LossPolicy(1)
        lost = StepLost(LossKind.RESET)
        remedies = [
            policy.choose_remedy(lost, 'a', 1) for _ in range(MAX_LOSSES + 1)
        ]
        self.assertEqual(remedies[-2:], [Remedy.REPLACE, Remedy.GIVE_UP])
        self.assertEqual(self.choose_remedy(lost, attempt=63), Remedy.GIVE_UP)
