"""Request ids: who may dispatch one, and what a second send is told.

Three kinds of id. A *minted* id `<incarnation>.<number>` is dispatched only
by the process that minted it. A *chosen* id `<unix seconds>-<text>` is
dispatched by whoever has the first claim in the log. Any other id goes with
idempotent requests only.

An id is used up by its first dispatch for good, also where that ended in
`not-run`: a copy of the request that arrives later must not run after its
caller was told so.
"""

import dataclasses
import hashlib
import itertools
import re

from poplarspindle import messages, outcomes, requests

MINTED_PATTERN = re.compile(r"([A-Za-z][A-Za-z0-9-]{0,62})\.(0|[1-9]\d{0,17})")
CHOSEN_PATTERN = re.compile(r"(\d{10})-[A-Za-z0-9._:~-]{1,100}")
WINDOW_IDS = 1024
DIGEST_BYTES = 16
MAX_RANGES = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what an entry remembers of ids.

    Attributes:
        life_s: How long a minted id may be used.
        windows: Windows of WINDOW_IDS ids remembered at once.
        answer_life_s: How long the result of an id is kept.
        answer_bytes: Bytes of all results kept.
    """

    life_s: float = 600.0
    windows: int = 4096
    answer_life_s: float = 60.0
    answer_bytes: int = 32 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class MintedId:
    """An id that a process minted."""

    incarnation: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerChosenId:
    """An id that a caller chose, with its own wall-clock seconds."""

    at_s: int


@dataclasses.dataclass(slots=True)
class RequestEntry:
    """What is remembered of one id in use.

    Attributes:
        digest: Digest of service and body of the first send.
        result: How it ended, None while it runs.
        until: When it may be forgotten, monotonic seconds.
    """

    digest: bytes
    result: messages.Result | None = None
    until: float = 0.0


@dataclasses.dataclass(slots=True)
class Window:
    """WINDOW_IDS ids in a row, one bit for each.

    Attributes:
        until: When its ids expire, monotonic seconds.
        used: Bit by id, set at its dispatch.
    """

    until: float
    used: bytearray = dataclasses.field(
        default_factory=lambda: bytearray(WINDOW_IDS // 8)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchAllowed:
    """The id is this process's to dispatch, this once."""


class State:
    """Everything that one entry remembers of ids.

    Attributes:
        incarnation: Unique id of the process; its ids start with it.
        limits: Bounds.
        minted: Number of ids handed out.
        windows: Window by number of its first id / WINDOW_IDS.
        running: Ids dispatched whose end is open.
        kept: Ids that ended, in that order.
        kept_bytes: Bytes of all results kept.
    """

    def __init__(self, incarnation: str, limits: Limits) -> None:
        self.incarnation = incarnation
        self.limits = limits
        self.minted = 0
        self.windows: dict[int, Window] = {}
        self.running: dict[str, RequestEntry] = {}
        self.kept: dict[str, RequestEntry] = {}
        self.kept_bytes = 0


def parse_id(name: str) -> MintedId | CallerChosenId | None:
    """Returns what kind of id a name is, None for any other."""
    if match := MINTED_PATTERN.fullmatch(name):
        return MintedId(match[1], int(match[2]))
    if match := CHOSEN_PATTERN.fullmatch(name):
        return CallerChosenId(int(match[1]))
    return None


def compute_digest(service: str, body: bytes) -> bytes:
    """Returns a digest by which two sends are told apart."""
    content = service.encode() + b"\0" + body
    return hashlib.sha256(content).digest()[:DIGEST_BYTES]


def mint_ids(
    state: State, count: int, now: float
) -> outcomes.Ok[tuple[str, ...]] | outcomes.Failed:
    """Hands out ids that no other incarnation can hand out.

    Args:
        state: The entry's state.
        count: How many.
        now: Monotonic seconds.

    Returns:
        The ids, or the refusal where too many are outstanding.
    """
    _expire(state, now)
    first = _skip_expired(state)
    last = first + count - 1
    needed = range(first // WINDOW_IDS, last // WINDOW_IDS + 1)
    fresh = sum(index not in state.windows for index in needed)
    if len(state.windows) + fresh > state.limits.windows:
        return outcomes.Failed(
            outcomes.Step.CLAIM, "", "too-many-ids", "Too many ids are out."
        )
    for index in needed:
        window = state.windows.setdefault(index, Window(0.0))
        window.until = now + state.limits.life_s
    state.minted = last + 1
    return outcomes.Ok(
        tuple(f"{state.incarnation}.{n}" for n in range(first, last + 1))
    )


def use_minted(
    state: State, number: int, digest: bytes, now: float
) -> DispatchAllowed | RequestEntry | requests.Verdict:
    """Uses up an id that this process minted.

    Args:
        state: The entry's state.
        number: Number of the id.
        digest: Digest of service and body.
        now: Monotonic seconds.

    Returns:
        Leave to dispatch, or what is remembered of the first send, or the
        refusal.
    """
    _expire(state, now)
    if number >= state.minted:
        return _refuse(requests.Outcome.NOT_RUN, "never-minted")
    name = f"{state.incarnation}.{number}"
    known = find_known(state, name, digest)
    if known is not None:
        return known
    window = state.windows.get(number // WINDOW_IDS)
    if window is None:
        return _refuse(requests.Outcome.UNKNOWN, "expired-id")
    if _is_used(window, number):
        return _refuse(requests.Outcome.UNKNOWN, "repeated-id")
    place, bit = divmod(number % WINDOW_IDS, 8)
    window.used[place] |= 1 << bit
    state.running[name] = RequestEntry(digest)
    return DispatchAllowed()


def use_chosen(
    state: State, name: str, digest: bytes, now: float
) -> DispatchAllowed | RequestEntry | requests.Verdict:
    """Takes a chosen id up here; the claim in the log must still be won."""
    _expire(state, now)
    known = find_known(state, name, digest)
    if known is not None:
        return known
    state.running[name] = RequestEntry(digest)
    return DispatchAllowed()


def find_known(
    state: State, name: str, digest: bytes
) -> RequestEntry | requests.Verdict | None:
    """Returns what is remembered of an id, if the content is the same."""
    entry = state.running.get(name) or state.kept.get(name)
    if entry is None:
        return None
    if entry.digest != digest:
        return _refuse(requests.Outcome.UNKNOWN, "different-content")
    return entry


def check_window(
    chosen: CallerChosenId, wall_s: float, window_s: float, skew_s: float
) -> requests.Verdict | None:
    """Refuses a chosen id whose claims may be forgotten.

    Args:
        chosen: The id.
        wall_s: This entry's wall clock, seconds since 1970.
        window_s: Greatest age of an id.
        skew_s: Greatest difference between two wall clocks.

    Returns:
        The refusal, or None.
    """
    if -skew_s <= wall_s - chosen.at_s <= window_s:
        return None
    return _refuse(requests.Outcome.UNKNOWN, "outside-window")


def finish(
    state: State, name: str, result: messages.Result, now: float
) -> None:
    """Keeps the result of an id for later sends of the same."""
    entry = state.running.pop(name, None)
    if entry is None:
        return
    entry.result = result
    entry.until = now + state.limits.answer_life_s
    state.kept[name] = entry
    state.kept_bytes += len(result.body)
    _expire(state, now)


def list_unused(state: State, now: float) -> tuple[tuple[int, int], ...]:
    """Returns the ids never used, as ranges of first and last number.

    Ids of windows that were forgotten, and ranges past MAX_RANGES, are left
    out: of these nothing is known.
    """
    _expire(state, now)
    numbers = (
        number
        for index, window in state.windows.items()
        for number in range(index * WINDOW_IDS, (index + 1) * WINDOW_IDS)
        if number < state.minted and not _is_used(window, number)
    )
    runs = itertools.groupby(enumerate(numbers), lambda pair: pair[1] - pair[0])
    spans = ([number for _, number in run] for _, run in runs)
    ranges = ((span[0], span[-1]) for span in spans)
    return tuple(itertools.islice(ranges, MAX_RANGES))


def _is_used(window: Window, number: int) -> bool:
    place, bit = divmod(number % WINDOW_IDS, 8)
    return bool(window.used[place] & 1 << bit)


def _refuse(outcome: requests.Outcome, reason: str) -> requests.Verdict:
    return requests.Verdict(outcome, reason, outcomes.Step.CLAIM)


def _expire(state: State, now: float) -> None:
    """Forgets windows and results that are old or too many."""
    while state.windows:
        index = next(iter(state.windows))
        if now < state.windows[index].until:
            break
        del state.windows[index]
    while state.kept:
        name, entry = next(iter(state.kept.items()))
        over = state.kept_bytes > state.limits.answer_bytes
        if now < entry.until and not over:
            break
        state.kept_bytes -= len(entry.result.body)
        del state.kept[name]


def _skip_expired(state: State) -> int:
    """Returns the next number to mint.

    A window that was forgotten is never opened again: its used ids would
    look unused.
    """
    index, place = divmod(state.minted, WINDOW_IDS)
    if place == 0 or index in state.windows:
        return state.minted
    return (index + 1) * WINDOW_IDS
