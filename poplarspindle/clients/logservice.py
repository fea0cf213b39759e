"""Client of the platform's append-only log.

Calls: `POST /append?stream=S` with the payload, answered with the offset;
`POST /read` with positions by stream, answered with the records from there
on. One read waits for news of all its streams at once.
"""

import dataclasses
import urllib.parse

from poplarspindle import outcomes
from poplarspindle.clients import transport


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """What one read found in one stream.

    Attributes:
        stream: The stream.
        first: Oldest offset kept.
        next: Offset that the next append will get.
        records: `(offset, payload)` from the position asked for, in order.
    """

    stream: str
    first: int
    next: int
    records: tuple[tuple[int, bytes], ...]


class LogService:
    """Calls of the log service.

    Args:
        url: URL of the service.
        calls: Transport to use.
    """

    def __init__(self, url: str, calls: transport.Transport) -> None:
        self._url = url.rstrip("/")
        self._calls = calls

    def append(
        self, stream: str, payload: bytes
    ) -> outcomes.Ok[int] | outcomes.Failed:
        """Appends one payload.

        Returns:
            Its offset, or the failure; the append may have taken effect
            where `may_have_acted` says so.
        """
        query = urllib.parse.urlencode({"stream": stream})
        url = f"{self._url}/append?{query}"
        answer = self._calls.call(outcomes.Step.APPEND, url, payload)
        if isinstance(answer, outcomes.Ok) and not _is_offset(answer.value):
            return outcomes.Failed(
                outcomes.Step.APPEND,
                url,
                "malformed",
                "The log answered with no offset.",
                True,
            )
        return answer

    def read(
        self, positions: dict[str, int], limit: int, wait_ms: int
    ) -> outcomes.Ok[tuple[Page, ...]] | outcomes.Failed:
        """Reads several streams from given offsets.

        Args:
            positions: Next offset wanted by stream.
            limit: Greatest number of records per stream.
            wait_ms: How long to wait where there is nothing new.

        Returns:
            A page per stream.
        """
        body = {"positions": positions, "limit": limit, "wait_ms": wait_ms}
        answer = self._calls.call(
            outcomes.Step.READ, f"{self._url}/read", body, wait_ms / 1000
        )
        if isinstance(answer, outcomes.Failed):
            return answer
        try:
            return outcomes.Ok(_read_pages(answer.value, positions))
        except (KeyError, TypeError, ValueError) as error:
            return outcomes.Failed(
                outcomes.Step.READ, self._url, "malformed", repr(error)
            )


def _is_offset(value: object) -> bool:
    return isinstance(value, int) and value >= 0


def _read_pages(value: dict, positions: dict[str, int]) -> tuple[Page, ...]:
    """Reads an answer; raises where it has not the form agreed."""
    return tuple(_read_page(stream, value[stream]) for stream in positions)


def _read_page(stream: str, page: dict) -> Page:
    found = tuple((offset, payload) for offset, payload in page["records"])
    offsets = (page["first"], page["next"], *(offset for offset, _ in found))
    if not all(map(_is_offset, offsets)):
        raise ValueError("offsets must be whole numbers from 0")
    if not all(isinstance(payload, bytes) for _, payload in found):
        raise ValueError("payloads must be bytes")
    return Page(stream, page["first"], page["next"], found)
