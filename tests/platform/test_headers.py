"""Tests of the headers of requests and answers."""

from __future__ import annotations

import unittest

from nutmegspoke.forwarded import AnswerKind, CallerRequest, Dispatch
from nutmegspoke.platform import headers

_HEADERS = [
    (b'Host', b'Drafts.Example:80'),
    (b'Attempt-Id', b'abc'),
    (b'Deadline-Ms', b'1500'),
    (b'Key', b'secret'),
    (b'Tenant', b'somebody-else'),
    (b'Token-Counts', b'1460,80'),
    (b'Length-Hint', b'37'),
    (b'Connection', b'keep-alive'),
    (b'X-Own', b'stays'),
]


def _request(body: bytes = b'{}') -> CallerRequest:
    return CallerRequest(b'POST', b'/drafts/2f?q=1', _HEADERS, body)


class RequestHeadersTest(unittest.TestCase):
    """Parsing of callers' requests and formatting for targets."""

    def test_reads_a_request(self) -> None:
        """Times are converted to seconds, and the port is removed."""
        facts = headers.read_request(_request())
        self.assertEqual(facts.request_id, 'abc')
        self.assertEqual(facts.host_name, 'drafts.example')
        self.assertEqual(facts.path, '/drafts/2f')
        self.assertEqual(facts.deadline_s, 1.5)
        self.assertEqual(
            (facts.prompt_tokens, facts.max_answer_tokens), (1460, 80)
        )
        self.assertEqual(facts.hinted_answer_tokens, 37.0)

    def test_wrong_numbers_count_as_absent(self) -> None:
        """Invalid numbers of a caller are ignored."""
        request = CallerRequest(
            b'GET',
            b'/',
            [(b'Deadline-Ms', b'soon'), (b'Token-Counts', b'1')],
            b'',
        )
        facts = headers.read_request(request)
        self.assertIsNone(facts.deadline_s)
        self.assertEqual(facts.prompt_tokens, 0)

    def test_numbers_that_overflow_count_as_absent(self) -> None:
        """Guards against arithmetic errors while a request is handled."""
        request = CallerRequest(
            b'GET',
            b'/',
            [
                (b'Deadline-Ms', b'nan'),
                (b'Length-Hint', b'1e400'),
                (b'Token-Counts', b'9' * 5_000 + b',1'),
            ],
            b'',
        )
        facts = headers.read_request(request)
        self.assertIsNone(facts.deadline_s)
        self.assertIsNone(facts.hinted_answer_tokens)
        self.assertEqual((facts.prompt_tokens, facts.max_answer_tokens), (0, 0))

    def test_the_last_part_of_a_prompt_is_not_shared(self) -> None:
        """The parts before it are known by their ids, once and in order."""
        for prompt, shared in (
            (
                b'5C1E07A2:800, 91bd3f06:410,e4402b7d:250',
                ('5c1e07a2', '91bd3f06'),
            ),
            (b'5c1e07a2:800,5c1e07a2:1,e4402b7d:250', ('5c1e07a2',)),
            (b'e4402b7d:250', ()),
            (b'', ()),
        ):
            request = CallerRequest(
                b'GET', b'/', [(b'Prompt-Prefix', prompt)], b''
            )
            facts = headers.read_request(request)
            self.assertEqual(facts.shared_parts, shared)

    def test_ids_that_are_no_numbers_name_no_part(self) -> None:
        """Guards against logs and updates with any bytes of a caller."""
        prompt = b',x:1,,"5c":2,\xff:3,%s:4,5c:9,e4' % (b'a' * 99)
        request = CallerRequest(b'GET', b'/', [(b'Prompt-Prefix', prompt)], b'')
        self.assertEqual(headers.read_request(request).shared_parts, ('5c',))

    def test_a_load_that_overflows_counts_as_absent(self) -> None:
        """Guards against a whole answer that is lost for its load."""
        for load in (b'9' * 400 + b',0,1', b'9' * 5_000 + b',0,1', b'1,2,x'):
            with self.subTest(load[:9]):
                facts = headers.read_answer(200, [(b'Server-Load', load)])
                self.assertIsNone(facts.load)

    def test_writes_its_own_headers_only(self) -> None:
        """The caller's key, team and deadline are not forwarded."""
        chain = (('10.0.0.1:80', 0, 20), ('10.0.0.2:80', 20, 80))
        written = headers.write_request(
            _request(),
            Dispatch('i-1', 'team-1', 0.75, chain, '12'),
        )
        head, _, body = written.partition(b'\r\n\r\n')
        lines = head.split(b'\r\n')
        self.assertEqual(body, b'{}')
        self.assertEqual(lines[0], b'POST /drafts/2f?q=1 HTTP/1.1')
        self.assertNotIn(b'secret', written)
        self.assertNotIn(b'somebody-else', written)
        for line in (
            b'Attempt-Id: abc',
            b'X-Own: stays',
            b'Deadline-Ms: 750',
            b'Expect-Instance: i-1',
            b'Tenant: team-1',
            b'Last-Event-Id: 12',
            b'Hops: 10.0.0.1:80=0-20,10.0.0.2:80=20-80',
            b'Content-Length: 2',
        ):
            self.assertEqual(lines.count(line), 1, line)

    def test_urgency_only_if_given(self) -> None:
        """Guards against other bytes to targets where no ranks compete."""
        plain = headers.write_request(_request(), Dispatch('i-1', '', 0.75))
        self.assertNotIn(b'urgency', plain.lower())
        urgent = headers.write_request(
            _request(), Dispatch('i-1', '', 0.75, urgency=0)
        )
        line = b'Urgency: 0\r\n'
        self.assertEqual(urgent.count(line), 1)
        self.assertEqual(urgent.replace(line, b''), plain)


class AnswerHeadersTest(unittest.TestCase):
    """Parsing of the status and headers of a target's answer."""

    def test_tells_kinds(self) -> None:
        """Only a 2xx with ``Response-Seal`` and no encoding is a success."""
        seal = (b'Response-Seal', b'x')
        id_header = (b'Attempt-Id', b'abc')
        cases = (
            (200, [seal], AnswerKind.SUCCESS),
            (200, [], AnswerKind.INVALID),
            (200, [seal, (b'Content-Encoding', b'gzip')], AnswerKind.INVALID),
            (503, [(b'Not-Executed', b'1')], AnswerKind.NOT_RUN),
            (421, [], AnswerKind.NOT_RUN),
            (400, [], AnswerKind.NOT_RUN),
            (400, [id_header, seal], AnswerKind.FAILURE),
            (503, [seal], AnswerKind.FAILURE),
            (500, [seal], AnswerKind.FAILURE),
        )
        for status, answer_headers, kind in cases:
            with self.subTest(f'{status} {answer_headers}'):
                self.assertIs(
                    headers.read_answer(status, answer_headers).kind, kind
                )

    def test_reads_load_and_idle_time(self) -> None:
        """Invalid values count as absent."""
        facts = headers.read_answer(
            200,
            [
                (b'Server-Load', b'2,0,96'),
                (b'Keep-Alive', b'timeout=10'),
                (b'At-Server', b'10.0.0.2:80'),
                (b'Connection', b'Close'),
            ],
        )
        self.assertEqual(facts.load, (2, 0, 96))
        self.assertEqual(facts.keep_alive_s, 10.0)
        self.assertEqual(facts.unreachable_address, '10.0.0.2:80')
        self.assertTrue(facts.must_close)
        invalid = headers.read_answer(200, [(b'Server-Load', b'2,x,96')])
        self.assertIsNone(invalid.load)

    def test_reads_pauses(self) -> None:
        """Guards against pauses without end, and those of other answers."""
        pauses = (
            (503, b'2.5', 2.5),
            (429, b' 1 ', 1.0),
            (200, b'2', 0.0),
            (503, b'-5', 0.0),
            (503, b'nan', 0.0),
            (503, b'1e400', 0.0),
            (503, b'soon', 0.0),
            (503, b'9' * 20, 60.0),
        )
        for status, text, pause_s in pauses:
            facts = headers.read_answer(status, [(b'Retry-After', text)])
            self.assertEqual(facts.pause_s, pause_s, text)
        self.assertEqual(headers.read_answer(503, []).pause_s, 0.0)

    def test_reads_limits(self) -> None:
        """Guards against limits that can't be true, and answers without one."""
        limits = (
            (b'0', 0.0),
            (b'2', 2.0),
            (b' 11.5 ', 11.5),
            (b'', None),
            (b'-5', None),
            (b'nan', None),
            (b'inf', None),
            (b'1e400', None),
            (b'1e3', None),
            (b'soon', None),
            (b'9' * 30, None),
            (b'2, 3', None),
            ('\u0663'.encode(), None),
        )
        for text, limit_per_s in limits:
            facts = headers.read_answer(200, [(b'Server-Limit', text)])
            self.assertEqual(facts.limit_per_s, limit_per_s, text)
            self.assertEqual(bool(facts.invalid_limit), limit_per_s is None)
        twice = [(b'Server-Limit', b'2'), (b'server-limit', b'3')]
        facts = headers.read_answer(200, twice)
        self.assertIsNone(facts.limit_per_s)
        self.assertTrue(facts.invalid_limit)
        facts = headers.read_answer(200, [])
        self.assertIsNone(facts.limit_per_s)
        self.assertFalse(facts.invalid_limit)

    def test_tells_stray_answers(self) -> None:
        """An answer with another id is not accepted."""
        self.assertTrue(
            headers.answers_request([(b'Attempt-Id', b'abc')], 'abc'),
        )
        self.assertFalse(
            headers.answers_request([(b'Attempt-Id', b'old')], 'abc'),
        )
