"""Client of the platform's instance list."""

import itertools

from poplarspindle import outcomes, reports
from poplarspindle.platform import transport


class InstanceList:
    """Calls of the instance list.

    Args:
        url: URL of the service.
        calls: Transport to use.
    """

    def __init__(self, url: str, calls: transport.Transport) -> None:
        self._url = url.rstrip("/")
        self._calls = calls

    def fetch(
        self,
    ) -> outcomes.Ok[tuple[reports.Member, ...]] | outcomes.Failed:
        """Reads the whole list."""
        answer = self._calls.call(outcomes.Step.LIST, f"{self._url}/members")
        if isinstance(answer, outcomes.Failed):
            return answer
        if not isinstance(answer.value, list):
            return outcomes.Failed(
                outcomes.Step.LIST, self._url, "malformed", "not a list"
            )
        return outcomes.Ok(
            tuple(itertools.chain.from_iterable(map(_read, answer.value)))
        )

    def announce(
        self, member: reports.Member
    ) -> outcomes.Ok[object] | outcomes.Failed:
        """Tells the platform this instance's addresses and presence."""
        return self._calls.call(
            outcomes.Step.LIST,
            f"{self._url}/announce",
            transport.converter.unstructure(member),
        )


def _read(entry: object) -> tuple[reports.Member, ...]:
    """Reads one entry; one that is none of ours is passed over."""
    try:
        return (transport.converter.structure(entry, reports.Member),)
    except Exception:
        return ()
