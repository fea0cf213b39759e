"""Client of the platform's instance list.

`POST /members` with the version known, answered with the present version and,
where it is another, all entries.
"""

import itertools

from poplarspindle import outcomes, reports
from poplarspindle.clients import transport


class InstanceList:
    """Calls of the instance list.

    Args:
        url: URL of the service.
        calls: Transport to use.
    """

    def __init__(self, url: str, calls: transport.Transport) -> None:
        self._url = url.rstrip("/")
        self._calls = calls
        self._version: object = None
        self._members: tuple[reports.Member, ...] = ()

    def fetch(
        self,
    ) -> outcomes.Ok[tuple[reports.Member, ...]] | outcomes.Failed:
        """Reads the list; its entries are sent only after a change."""
        answer = self._calls.call(
            outcomes.Step.LIST,
            f"{self._url}/members",
            {"version": self._version},
        )
        if isinstance(answer, outcomes.Failed):
            return answer
        match answer.value:
            case {"version": version, "members": None} if (
                version == self._version
            ):
                return outcomes.Ok(self._members)
            case {"version": version, "members": list(entries)}:
                read = map(_read, entries)
                self._members = tuple(itertools.chain.from_iterable(read))
                self._version = version
                return outcomes.Ok(self._members)
        return outcomes.Failed(
            outcomes.Step.LIST, self._url, "malformed", "not a list"
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
