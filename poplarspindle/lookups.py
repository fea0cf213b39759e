"""Finds the trace of a request: here, at other entries, in the audit."""

import concurrent.futures
import enum
import time
from collections.abc import Iterable

from poplarspindle import (
    membership,
    messages,
    outcomes,
    peers,
    records,
    reports,
    tickets,
    traces,
)
from poplarspindle.clients import logservice

ASK_S = 1.0
AUDIT_READ_S = 3.0
AUDIT_APPENDS = 5000
READ_LIMIT = 500
UNKNOWN = messages.TraceFound(known=False)


class Source(enum.StrEnum):
    """Where a trace was found."""

    HERE = "here"
    PEER = "peer"
    AUDIT = "audit"
    NOWHERE = "nowhere"


def name_stream(data_centre: str) -> str:
    """Returns the audit stream of a data centre."""
    return records.AUDIT_STREAM_PREFIX + data_centre


class Lookup:
    """Finds traces for one entry.

    Args:
        ring: Traces of this entry.
        links: Connections to other entries.
        members: The instance list.
        service: The log.
    """

    def __init__(
        self,
        ring: traces.Ring,
        links: peers.Links,
        members: membership.State,
        service: logservice.LogService,
    ) -> None:
        self._ring = ring
        self._links = links
        self._members = members
        self._service = service

    def find(
        self, request: str, data_centres: Iterable[str]
    ) -> tuple[messages.TraceFound, Source]:
        """Finds what is known of a request.

        Args:
            request: Request id.
            data_centres: Data centres whose audit may name it.

        Returns:
            The trace and where it was found.
        """
        found = self._ring.find(request)
        best = (found, Source.HERE if found.known else Source.NOWHERE)
        if _has_run(found):
            return best
        for found in self._ask_entries(request):
            if found.known and not (best[0].ended and best[0].known):
                best = (found, Source.PEER)
            if _has_run(found):
                return found, Source.PEER
        found = find_audit(self._service, data_centres, request)
        if found.known and (not best[0].known or _has_run(found)):
            return found, Source.AUDIT
        return best

    def _ask_entries(self, request: str) -> list[messages.TraceFound]:
        """Asks the minter, or all entries where the id names none."""
        match tickets.parse_id(request):
            case tickets.MintedId(incarnation, _):
                minter = membership.find_peer(self._members, incarnation)
            case _:
                minter = ""
        addresses = (
            (minter,)
            if minter
            else membership.list_peers(self._members, reports.Role.ENTRY)
        )
        if not addresses:
            return []
        question = messages.TraceQuery(request)
        with concurrent.futures.ThreadPoolExecutor(len(addresses)) as pool:
            found = pool.map(
                lambda address: self._links.ask(address, question, ASK_S),
                addresses,
            )
            return [
                answer.value
                for answer in found
                if isinstance(answer, outcomes.Ok)
                and isinstance(answer.value, messages.TraceFound)
            ]


def find_audit(
    service: logservice.LogService,
    data_centres: Iterable[str],
    request: str,
) -> messages.TraceFound:
    """Searches the latest AUDIT_APPENDS appends of each audit stream.

    A record that says that the request ran, or may have, goes before others:
    another entry may have refused a second send of the same id.
    """
    deadline = time.monotonic() + AUDIT_READ_S
    found = [
        traces.read_record(record)
        for data_centre in sorted(set(data_centres))
        for record in _read_audit(service, name_stream(data_centre), deadline)
        if record.request == request
    ]
    decided = [item for item in found if _has_run(item)]
    return next(iter(decided or found), UNKNOWN)


def _has_run(found: messages.TraceFound) -> bool:
    """Tells whether a trace shows a send to a minion."""
    return found.known and any(
        f" ms {outcomes.Step.SEND} " in step for step in found.steps
    )


def _read_audit(service, stream: str, deadline: float):
    """Yields the latest traces of one audit stream."""
    answer = service.read({stream: 0}, 1, 0)
    if isinstance(answer, outcomes.Failed):
        return
    (page,) = answer.value
    position = max(page.first, page.next - AUDIT_APPENDS)
    while position < page.next and time.monotonic() < deadline:
        answer = service.read({stream: position}, READ_LIMIT, 0)
        if isinstance(answer, outcomes.Failed) or not answer.value[0].records:
            return
        for offset, payload in answer.value[0].records:
            batch, _ = records.decode_batch(payload)
            yield from (
                record
                for record in batch
                if isinstance(record, records.RequestTraced)
            )
            position = offset + 1
