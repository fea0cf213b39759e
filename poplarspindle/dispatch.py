"""Sends a request to one minion after another while that is allowed.

The decisions are plain functions; Dispatcher keeps the state and does the
sending for the threads of an entry.
"""

import dataclasses
import random
import threading
import time
from collections.abc import Callable

from poplarspindle import metrics, outcomes, reports, requests, routing
from poplarspindle.platform import minions

ATTEMPTS_MOST = 3

Note = Callable[[outcomes.Step, str, str], None]


@dataclasses.dataclass(slots=True)
class Minion:
    """What an entry knows of a minion.

    Attributes:
        member: Its entry in the platform's list.
        sent: Requests of this entry now at it.
    """

    member: reports.Member
    sent: int = 0


class State:
    """What one entry knows of all minions.

    Attributes:
        entries: Number of entries that share the minions.
        minions: Minion by name.
    """

    def __init__(self, entries: int, policy: str) -> None:
        self.entries = entries
        self.pick = routing.POLICIES[policy]
        self.minions: dict[str, Minion] = {}


def take_members(own: State, members: tuple[reports.Member, ...]) -> None:
    """Takes the platform's list over; counts of known minions stay."""
    found = {}
    for member in members:
        if member.role is reports.Role.MINION:
            minion = own.minions.get(member.name, Minion(member))
            minion.member = member
            found[member.name] = minion
    own.minions = found


def choose_minion(
    own: State, service: str, tried: frozenset[str], rng: random.Random
) -> Minion | None:
    """Picks a live minion with room under this entry's limits."""
    able = [
        minion
        for minion in own.minions.values()
        if service in minion.member.services
        and minion.member.presence is reports.Presence.LIVE
        and minion.member.name not in tried
        and minion.sent < find_limit(own, minion.member)
    ]
    return own.pick(able, rng) if able else None


def find_limit(own: State, member: reports.Member) -> int:
    """Returns how many connections this entry may hold to a minion."""
    return max(1, member.connections // own.entries)


def may_retry(
    failed: outcomes.Failed, idempotent: bool, tries: int, left_s: float
) -> bool:
    """Decides whether a failed send may be tried at another minion."""
    safe = idempotent or not failed.may_have_acted
    return safe and tries < ATTEMPTS_MOST and left_s > 0


def conclude(failed: outcomes.Failed, acted_before: bool) -> requests.Verdict:
    """Returns what the caller is told after the last failure."""
    acted = failed.may_have_acted or acted_before
    outcome = requests.Outcome.UNKNOWN if acted else requests.Outcome.NOT_RUN
    return requests.Verdict(outcome, failed.reason, failed.step, failed.peer)


class Dispatcher:
    """Sends requests to minions for the threads of one entry.

    Args:
        entries: Number of entries that share the minions.
        policy: Name of the routing policy.
        client: Connections to the minions.
        counters: Where retries are counted.
        seed: Seed of the routing's random choices.
    """

    def __init__(
        self,
        entries: int,
        policy: str,
        client: minions.Minions,
        counters: metrics.Metrics,
        seed: int,
    ) -> None:
        self.state = State(entries, policy)
        self._client = client
        self._counters = counters
        self._rng = random.Random(seed)
        self._lock = threading.Lock()

    def take_members(self, members: tuple[reports.Member, ...]) -> None:
        """Takes the platform's list over."""
        with self._lock:
            take_members(self.state, members)

    def dispatch(
        self,
        service: str,
        name: str,
        body: bytes,
        idempotent: bool,
        deadline: float,
        note: Note,
    ) -> minions.Answer | requests.Verdict:
        """Sends a request until it is answered or must not be sent again.

        Args:
            service: Service asked for.
            name: Request id.
            body: The request's body.
            idempotent: Whether it may run more than once.
            deadline: End of the caller's patience, monotonic seconds.
            note: Told of each step with peer and reason, for the trace.

        Returns:
            The whole answer, or what the caller is told instead.
        """
        tried: frozenset[str] = frozenset()
        acted = False
        failed = outcomes.Failed(outcomes.Step.ROUTE, "", "no-minion")
        while True:
            minion = self._take_minion(service, tried)
            if minion is None:
                return conclude(failed, acted)
            peer = minion.member.name
            note(outcomes.Step.SEND, peer, "sent")
            answer = self._send(minion, service, name, body, deadline)
            if isinstance(answer, outcomes.Ok):
                note(outcomes.Step.RECEIVE, peer, "answered")
                return answer.value
            failed = answer
            note(failed.step, peer, failed.reason)
            tried |= {minion.member.name}
            left_s = deadline - time.monotonic()
            if not may_retry(failed, idempotent, len(tried), left_s):
                return conclude(failed, acted)
            acted |= failed.may_have_acted
            self._counters.add("poplarspindle_retries_total", failed.reason)

    def _take_minion(self, service, tried) -> Minion | None:
        with self._lock:
            minion = choose_minion(self.state, service, tried, self._rng)
            if minion is not None:
                minion.sent += 1
            return minion

    def _send(self, minion, service, name, body, deadline):
        left_s = deadline - time.monotonic()
        try:
            return self._client.send(
                minion.member.address, service, name, body, left_s
            )
        finally:
            with self._lock:
                minion.sent -= 1
