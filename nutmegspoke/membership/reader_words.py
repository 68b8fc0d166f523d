"""What the readers of a table say of the store."""

from __future__ import annotations

import dataclasses

# A failure of the store is reported to other daemons for this time, as an entry
# that disappears shortly after a failure may only have expired.
FAILURE_REPORTED_S = 5.0
# A reader that is heard says something new within this time.
_WORD_EXPIRES_S = 1.5
# What a reader says is this much older than what happens.
_WORD_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Word:
    """What a reader has said last.

    :param heard_s: when it was heard.
    :param confirmed_s: when the store answered this reader.
    :param sound_since_s: since when it is known to have answered all its calls.
    """

    heard_s: float
    confirmed_s: float
    sound_since_s: float


class ReaderWords:
    """The last word of each reader of a table, by the name of its host."""

    def __init__(self) -> None:
        """Start without words."""
        self._words: dict[str, _Word] = {}

    def record(
        self,
        host: str,
        confirmed_s: float,
        failure_age_s: float,
        now_s: float,
    ) -> None:
        """Record what a reader says.

        :param confirmed_s: when the store answered it, by the own clock.
        :param failure_age_s: time since a call by it last failed; negative if
            none has for ``FAILURE_REPORTED_S``.
        """
        sound_since_s = confirmed_s
        known = self._words.get(host)
        if known is not None and now_s - known.heard_s <= _WORD_EXPIRES_S:
            sound_since_s = known.sound_since_s
        if failure_age_s >= 0:
            sound_since_s = max(sound_since_s, now_s - failure_age_s)
        self._words[host] = _Word(now_s, confirmed_s, sound_since_s)

    def is_own_failure(self, host: str, failed_s: float, now_s: float) -> bool:
        """Return whether a store that failed for a reader answered another.

        Then it is the reader that was cut off.

        :param failed_s: time of the failure, by the own clock.
        """
        return any(
            now_s - word.heard_s <= _WORD_EXPIRES_S
            and word.sound_since_s <= failed_s - _WORD_DELAY_S
            and word.confirmed_s >= failed_s - _WORD_DELAY_S
            for other, word in self._words.items()
            if other != host
        )
