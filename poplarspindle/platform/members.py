"""Client of the platform's instance list."""

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
        members = transport.converter.structure(
            answer.value, tuple[reports.Member, ...]
        )
        return outcomes.Ok(members)

    def announce(
        self, member: reports.Member
    ) -> outcomes.Ok[object] | outcomes.Failed:
        """Tells the platform this instance's addresses and presence."""
        return self._calls.call(
            outcomes.Step.LIST,
            f"{self._url}/announce",
            transport.converter.unstructure(member),
        )
