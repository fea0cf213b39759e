"""What one entry knows of the minions, and which it picks.

Time and randomness are passed in; callers hold the entry's lock.
"""

import dataclasses
import random

from poplarspindle import health, limits, outcomes, reports, routing

# Failures that say nothing of a minion's health.
NEUTRAL = frozenset(("aborted", "bad-header"))
# Failures that do so only when the minion was given its time.
TIMED = frozenset(("timeout", "connect-timeout"))
# Failures after which a minion is surely of no use, however many share it.
SURE = frozenset(("no-connection", "connect-timeout"))
ERROR_STATUS = 500


@dataclasses.dataclass(slots=True)
class Minion:
    """What an entry knows of a minion.

    Attributes:
        member: Its entry in the platform's list.
        outstanding: When each request now at it was sent, oldest first.
        health_state: Whether it is ejected, and why.
        fullness: Whether it has a slot.
        latency_s: Latency to expect, as of the last choice; 0 where unknown.
        share: Connections that this entry may hold to it.
    """

    member: reports.Member
    outstanding: dict[int, float] = dataclasses.field(default_factory=dict)
    health_state: health.Health = dataclasses.field(
        default_factory=health.Health
    )
    fullness: limits.SlotBackoff = dataclasses.field(
        default_factory=limits.SlotBackoff
    )
    latency_s: float = 0.0
    share: int = 1

    @property
    def sent(self) -> int:
        """Requests of this entry now at it."""
        return len(self.outstanding)


@dataclasses.dataclass(frozen=True, slots=True)
class OutstandingSend:
    """One send under way."""

    number: int
    minion: Minion
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ejection:
    """A minion was ejected; its idle connections should be closed."""

    address: str
    reason: str


class State:
    """What one entry knows of all minions.

    Attributes:
        entries: Number of entries that share the minions.
        rules: When minions are ejected.
        minions: Minion by name.
        minions_by_service: Minions that answer for a service and aren't
            leaving.
        reviewed_at: When slow and silent ones were last looked for.
    """

    def __init__(
        self, entries: int, policy: str, rules: health.Rules | None = None
    ) -> None:
        self.entries = entries
        self.rules = rules or health.Rules()
        self.pick = routing.POLICIES[policy]
        self.minions: dict[str, Minion] = {}
        self.minions_by_service: dict[str, list[Minion]] = {}
        self.reviewed_at = 0.0
        self.last_send_number = 0


def apply_members(state: State, members: tuple[reports.Member, ...]) -> None:
    """Takes the platform's list over; what is known of minions stays."""
    minions = {}
    for member in members:
        if member.role is reports.Role.MINION:
            minion = state.minions.get(member.name)
            if minion is None or minion.member.address != member.address:
                minion = Minion(member)
            minion.member = member
            minion.share = limits.compute_connection_share(
                member.connections, state.entries
            )
            minions[member.name] = minion
    state.minions = minions
    state.minions_by_service = {}
    for minion in minions.values():
        if minion.member.presence is reports.Presence.LIVE:
            for service in minion.member.services:
                state.minions_by_service.setdefault(service, []).append(minion)


def choose_minion(
    state: State,
    service: str,
    tried: frozenset[str],
    idempotent: bool,
    at: float,
    rng: random.Random,
) -> Minion | str:
    """Picks a minion for one request.

    Args:
        state: What is known of the minions.
        service: Service asked for.
        tried: Minions that this request was sent to before.
        idempotent: Whether the request may run more than once.
        at: Now, monotonic seconds.
        rng: Randomness for ties.

    Returns:
        The minion, or why there is none: `no-minion` serves it, none that
        serves it is trusted (`all-ejected`), has `no-room`, or is untried
        (`all-tried`).
    """
    offering = state.minions_by_service.get(service)
    if not offering:
        return "no-minion"
    untried = [m for m in offering if m.member.name not in tried]
    if not untried:
        return "all-tried"
    trusted = [m for m in untried if m.health_state.phase is health.TRUSTED]
    if len(trusted) < len(untried):
        due = [
            m for m in untried if health.is_due(m.health_state, at, idempotent)
        ]
        if due:
            return rng.choice(due)
    if not trusted:
        return "all-ejected"
    eligible = [
        m
        for m in trusted
        if limits.has_free_slot(m.fullness, len(m.outstanding), m.share, at)
    ]
    if not eligible:
        return "no-room"
    for minion in eligible:
        minion.latency_s = health.predict_latency(minion.health_state, at)
    return state.pick(eligible, rng)


def begin_send(state: State, minion: Minion, at: float) -> OutstandingSend:
    """Notes that a request goes to a minion."""
    state.last_send_number += 1
    minion.outstanding[state.last_send_number] = at
    if minion.health_state.phase is health.Phase.EJECTED:
        minion.health_state.phase = health.Phase.PROBING
    return OutstandingSend(state.last_send_number, minion, at)


def end_send(
    state: State,
    sent: OutstandingSend,
    failed: outcomes.Failed | None,
    status: int,
    fresh: bool,
    at: float,
) -> tuple[Ejection, ...]:
    """Notes the end of a send.

    Args:
        state: What is known of the minions.
        sent: The send.
        failed: Its failure, None where it was answered.
        status: Status of the answer.
        fresh: Whether it went over a new connection.
        at: Now, monotonic seconds.

    Returns:
        The ejection that followed, if any.
    """
    minion = sent.minion
    minion.outstanding.pop(sent.number, None)
    took_s = at - sent.at
    if failed is None:
        limits.record_accepted(minion.fullness)
        is_error = status >= ERROR_STATUS
        health.record_answer(
            minion.health_state, state.rules, at, took_s, is_error
        )
        return ()
    if failed.reason == "minion-refused":
        limits.record_refusal(minion.fullness, at)
        health.record_refusal(minion.health_state, at)
        return ()
    if not _counts(state, failed, took_s, fresh):
        health.record_inconclusive(minion.health_state, at)
        return ()
    if health.record_failure(minion.health_state, state.rules, at):
        certain = failed.reason in SURE
        return _eject(state, minion, failed.reason, at, certain)
    return ()


def _counts(
    state: State, failed: outcomes.Failed, took_s: float, fresh: bool
) -> bool:
    """Tells whether a failure speaks against the minion itself.

    A timeout does only when the minion had its time, and the connection was
    new: an old one may have gone silent by itself.
    """
    if failed.reason in NEUTRAL:
        return False
    if failed.reason in TIMED:
        patience_s = state.rules.silent_s
        if failed.reason == "connect-timeout":
            patience_s /= 2
        return fresh and took_s >= patience_s * 0.9
    return True


def review(state: State, at: float) -> tuple[Ejection, ...]:
    """Ejects slow and silent minions, as far as the bounded share allows."""
    if at - state.reviewed_at < health.REVIEW_S:
        return ()
    state.reviewed_at = at
    healths = [m.health_state for m in state.minions.values()]
    faults = (
        (minion, _find_fault(state, minion, healths, at))
        for minion in state.minions.values()
    )
    return tuple(
        ejection
        for minion, reason in list(faults)
        if reason
        for ejection in _eject(state, minion, reason, at)
    )


def _find_fault(state: State, minion: Minion, healths: list, at: float) -> str:
    oldest = next(iter(minion.outstanding.values()), at)
    return health.find_fault(
        minion.health_state, state.rules, healths, oldest, at
    )


def _eject(
    state: State, minion: Minion, reason: str, at: float, certain: bool = False
) -> tuple[Ejection, ...]:
    healths = [m.health_state for m in state.minions.values()]
    if not certain and not health.may_eject(healths, state.rules):
        minion.health_state.failures = 0
        return ()
    health.eject(minion.health_state, state.rules, at)
    return (Ejection(minion.member.address, reason),)
