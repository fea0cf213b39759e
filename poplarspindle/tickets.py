"""Request ids: which process may dispatch one, and the reply to a duplicate.

There are three kinds of id. A *minted* id `<incarnation>.<number>` is
dispatched only by the process that minted it. A *chosen* id
`<unix seconds>-<text>`, made by a caller, is dispatched by the process whose
claim is first in the log. Any other id is valid for idempotent requests only.

The first dispatch uses up an id for good, even if it ended in `not-run`: a
duplicate that arrives later must not run after the caller received that
result.
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
    """Limits on the state that an entry stores about ids.

    Attributes:
        life_s: How long a minted id is valid.
        windows: Maximum number of windows of WINDOW_IDS ids.
        answer_life_s: How long the result of an id is stored.
        answer_bytes: Maximum size of all stored results.
    """

    life_s: float = 600.0
    windows: int = 4096
    answer_life_s: float = 60.0
    answer_bytes: int = 32 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class MintedId:
    """An id minted by a process.

    Attributes:
        incarnation: Incarnation of the process.
        number: Number of the id, from 0.
    """

    incarnation: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerChosenId:
    """An id chosen by a caller.

    Attributes:
        at_s: The caller's wall clock when it chose the id, seconds since
            1970.
    """

    at_s: int


@dataclasses.dataclass(slots=True)
class RequestEntry:
    """State of one id that was dispatched.

    Attributes:
        digest: Digest of service and body of the first send.
        result: Result of the request, None while it runs.
        until: When the entry may be removed, monotonic seconds.
    """

    digest: bytes
    result: messages.Result | None = None
    until: float = 0.0


@dataclasses.dataclass(slots=True)
class Window:
    """A window of WINDOW_IDS consecutive ids, with one bit for each.

    Attributes:
        until: When its ids expire, monotonic seconds.
        used: Bitmap of the ids; a bit is set when its id is dispatched.
    """

    until: float
    used: bytearray = dataclasses.field(
        default_factory=lambda: bytearray(WINDOW_IDS // 8)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchAllowed:
    """This process may dispatch the id now, once."""


class State:
    """State of one entry about request ids.

    Attributes:
        incarnation: Unique id of the process; its ids start with it.
        limits: Limits on this state.
        minted: Number that the next minted id gets, unless its window has
            expired.
        windows: Window by its index, the number of its first id divided by
            WINDOW_IDS.
        running: Dispatched ids that have no result yet.
        kept: Ids with a result, in the order in which they ended.
        kept_bytes: Size of the bodies of all stored results.
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
    """Parses a request id; returns None if it is neither minted nor chosen."""
    if match := MINTED_PATTERN.fullmatch(name):
        return MintedId(match[1], int(match[2]))
    if match := CHOSEN_PATTERN.fullmatch(name):
        return CallerChosenId(int(match[1]))
    return None


def compute_digest(service: str, body: bytes) -> bytes:
    """Returns a digest that distinguishes requests with different content."""
    content = service.encode() + b"\0" + body
    return hashlib.sha256(content).digest()[:DIGEST_BYTES]


def mint_ids(
    state: State, count: int, now: float
) -> outcomes.Ok[tuple[str, ...]] | outcomes.Failed:
    """Mints ids that no other incarnation can mint.

    Args:
        state: The entry's state.
        count: Number of ids.
        now: Current time, monotonic seconds.

    Returns:
        The ids, or a failure if too many are outstanding.
    """
    _remove_expired(state, now)
    first = _find_next_number(state)
    last = first + count - 1
    window_indexes = range(first // WINDOW_IDS, last // WINDOW_IDS + 1)
    new_windows = sum(index not in state.windows for index in window_indexes)
    if len(state.windows) + new_windows > state.limits.windows:
        return outcomes.Failed(
            outcomes.Step.CLAIM,
            "",
            "too-many-ids",
            "Too many ids are out.",
        )
    for index in window_indexes:
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
        now: Current time, monotonic seconds.

    Returns:
        Permission to dispatch, or the entry of the first send, or the
        refusal.
    """
    _remove_expired(state, now)
    if number >= state.minted:
        return _make_refusal(requests.Outcome.NOT_RUN, "never-minted")
    name = f"{state.incarnation}.{number}"
    entry_or_refusal = find_known(state, name, digest)
    if entry_or_refusal is not None:
        return entry_or_refusal
    window = state.windows.get(number // WINDOW_IDS)
    if window is None:
        return _make_refusal(requests.Outcome.UNKNOWN, "expired-id")
    if _is_used(window, number):
        return _make_refusal(requests.Outcome.UNKNOWN, "repeated-id")
    byte_index, bit = divmod(number % WINDOW_IDS, 8)
    window.used[byte_index] |= 1 << bit
    state.running[name] = RequestEntry(digest)
    return DispatchAllowed()


def use_chosen(
    state: State, name: str, digest: bytes, now: float
) -> DispatchAllowed | RequestEntry | requests.Verdict:
    """Registers a chosen id on this entry; the claim in the log must follow.

    Args:
        state: The entry's state.
        name: The id.
        digest: Digest of service and body.
        now: Current time, monotonic seconds.

    Returns:
        Permission to claim and dispatch, or the entry of the first send, or
        the refusal.
    """
    _remove_expired(state, now)
    entry_or_refusal = find_known(state, name, digest)
    if entry_or_refusal is not None:
        return entry_or_refusal
    state.running[name] = RequestEntry(digest)
    return DispatchAllowed()


def find_known(
    state: State, name: str, digest: bytes
) -> RequestEntry | requests.Verdict | None:
    """Returns the entry of an id, a refusal if its content differs, or None."""
    entry = state.running.get(name) or state.kept.get(name)
    if entry is None:
        return None
    if entry.digest != digest:
        return _make_refusal(requests.Outcome.UNKNOWN, "different-content")
    return entry


def check_window(
    chosen: CallerChosenId, wall_s: float, window_s: float, skew_s: float
) -> requests.Verdict | None:
    """Refuses a chosen id that is so old that its claim may be deleted.

    Args:
        chosen: The id.
        wall_s: This entry's wall clock, seconds since 1970.
        window_s: Maximum age of an id.
        skew_s: Maximum difference between two wall clocks.

    Returns:
        The refusal, or None.
    """
    if -skew_s <= wall_s - chosen.at_s <= window_s:
        return None
    return _make_refusal(requests.Outcome.UNKNOWN, "outside-window")


def finish(
    state: State, name: str, result: messages.Result, now: float
) -> None:
    """Stores the result of an id, to answer later duplicates."""
    entry = state.running.pop(name, None)
    if entry is None:
        return
    entry.result = result
    entry.until = now + state.limits.answer_life_s
    state.kept[name] = entry
    state.kept_bytes += len(result.body)
    _remove_expired(state, now)


def list_unused(state: State, now: float) -> tuple[tuple[int, int], ...]:
    """Returns the minted ids not used, as ranges of first and last number.

    Ids of removed windows are omitted, because their use is unknown, and so
    are ranges beyond the first MAX_RANGES.
    """
    _remove_expired(state, now)
    numbers = (
        number
        for index, window in state.windows.items()
        for number in range(index * WINDOW_IDS, (index + 1) * WINDOW_IDS)
        if number < state.minted and not _is_used(window, number)
    )
    groups = itertools.groupby(
        enumerate(numbers), lambda pair: pair[1] - pair[0]
    )
    number_lists = ([number for _, number in group] for _, group in groups)
    ranges = (
        (numbers_in_row[0], numbers_in_row[-1])
        for numbers_in_row in number_lists
    )
    return tuple(itertools.islice(ranges, MAX_RANGES))


def _is_used(window: Window, number: int) -> bool:
    byte_index, bit = divmod(number % WINDOW_IDS, 8)
    return bool(window.used[byte_index] & 1 << bit)


def _make_refusal(outcome: requests.Outcome, reason: str) -> requests.Verdict:
    return requests.Verdict(outcome, reason, outcomes.Step.CLAIM)


def _remove_expired(state: State, now: float) -> None:
    """Removes expired windows, and results expired or over the size limit."""
    while state.windows:
        index = next(iter(state.windows))
        if now < state.windows[index].until:
            break
        del state.windows[index]
    while state.kept:
        name, entry = next(iter(state.kept.items()))
        over_limit = state.kept_bytes > state.limits.answer_bytes
        if now < entry.until and not over_limit:
            break
        state.kept_bytes -= len(entry.result.body)
        del state.kept[name]


def _find_next_number(state: State) -> int:
    """Returns the next number to mint.

    A removed window is never created again, because its used ids would then
    look unused.
    """
    index, position = divmod(state.minted, WINDOW_IDS)
    if position == 0 or index in state.windows:
        return state.minted
    return (index + 1) * WINDOW_IDS
