"""List of the machines that workers run on, from the platform's cloud.

A worker is one life of a machine. While it is alive its machine is `up` with
its id; a machine whose worker died, moves or is in upkeep has no worker yet.
"""

import urllib.parse

from poplarspindle import outcomes
from poplarspindle.platform import decoding, transport

READ_TIMEOUT_S = 2.0  # A slow cloud takes hundreds of milliseconds.
MAX_PAGES = 1000
MAX_ROWS = 10_000  # On a page.
ENDED_STATES = frozenset({"moving", "upkeep", "down"})


class Machines:
    """Calls of the cloud.

    Args:
        address: `host:port` of the cloud, empty where there is none.
    """

    def __init__(self, address: str) -> None:
        self.move(address)

    def move(self, address: str) -> None:
        """Sends all further calls to another address."""
        self._address = address
        self._calls = transport.Transport(address, 1) if address else None

    def read_alive(self) -> outcomes.Ok[frozenset[str]] | outcomes.Failed:
        """Returns the names of all workers whose machines are up."""
        names: set[str] = set()
        token = ""
        for _ in range(MAX_PAGES):
            page = self._read_page(token)
            if isinstance(page, outcomes.Failed):
                return page
            try:
                names.update(_read_names(page.value))
                token = _read_token(page.value)
            except decoding.MalformedError as error:
                return self._fail("malformed", str(error))
            if not token:
                return outcomes.Ok(frozenset(names))
        return self._fail("endless")

    def _read_page(
        self, token: str
    ) -> outcomes.Ok[dict[str, object]] | outcomes.Failed:
        calls = self._calls
        if calls is None:
            return self._fail("no-address")
        query = urllib.parse.urlencode({"page_token": token}) if token else ""
        answer = calls.call(
            outcomes.Step.LIST,
            "GET",
            f"/api/machines{'?' if query else ''}{query}",
            None,
            READ_TIMEOUT_S,
        )
        if isinstance(answer, outcomes.Failed):
            return answer
        if answer.value.status != 200:
            return self._fail(f"status-{answer.value.status}")
        return outcomes.Ok(answer.value.read_fields())

    def _fail(self, reason: str, detail: str = "") -> outcomes.Failed:
        return outcomes.Failed(
            outcomes.Step.LIST, self._address, reason, detail
        )


def _read_names(fields: dict[str, object]) -> list[str]:
    """Returns the workers on a page; a row that can't be read may be any."""
    rows = decoding.check_list(fields.get("machines"), "machines", MAX_ROWS)
    names = []
    for row in rows:
        entry = decoding.check_object(row, "a machine")
        name = decoding.check_text(entry.get("id") or "", "id")
        if name and entry.get("state") not in ENDED_STATES:
            names.append(name)
    return names


def _read_token(fields: dict[str, object]) -> str:
    return decoding.check_text(fields.get("next_token") or "", "next_token")
