"""The operators' document: sections, versions and verdicts on changes.

Every instance reduces the same records in the same order, so all reach the
same verdict on each change with no vote between them.
"""

import dataclasses
import enum
import hashlib
import hmac
import itertools
import re
from collections.abc import Iterator, Mapping

from poplarspindle import effects, events, homes, outcomes, records, strict

HORIZON_OFFSETS = 4096
REFUSALS_KEPT = 256
MAX_SECTION_BYTES = 262144
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

Change = records.SectionPublished | records.DataCentreSet
Homes = dict[str, homes.Home]


class Verdict(enum.StrEnum):
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True)
class Decision:
    """The verdict on one change.

    Attributes:
        verdict: What became of it.
        winner: Author whose change stands in its place, after a conflict.
        version: Version in force after the verdict.
        reason: One sentence.
        subject: Section or data centre that it is about.
        team: Team that signed the change.
        author: Person who made the change.
        offset: Offset at which it was judged.
    """

    verdict: Verdict
    winner: str
    version: int
    reason: str
    subject: str = ""
    team: str = ""
    author: str = ""
    offset: int = -1


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """A latency-critical service.

    Attributes:
        priority: Higher goes first.
        replicas: Number of tasks over all its data centres.
        processors: Processors of one task.
        memory_gb: Memory of one task.
        accelerators: Accelerators of one task.
        data_centres: Where its tasks may run; empty for anywhere.
        target_ms: Tail latency it should keep.
        exclusive: Whether a task must never run in two places at once.
    """

    priority: int = 100
    replicas: int = 1
    processors: float = 1.0
    memory_gb: float = 1.0
    accelerators: int = 0
    data_centres: tuple[str, ...] = ()
    target_ms: float = 200.0
    exclusive: bool = False


@dataclasses.dataclass(frozen=True)
class FamilySpec:
    """A family of batch jobs.

    Attributes:
        priority: Higher goes first.
        processors: Declared processors of one task.
        memory_gb: Declared memory of one task.
        accelerators: Accelerators of one task.
        run_s: Declared run time of one task.
        data_centres: Where its tasks may run; empty for anywhere.
        exclusive: Whether a task must never run in two places at once.
        urgent: Whether it may evict work of lower priority to start.
    """

    priority: int = 10
    processors: float = 1.0
    memory_gb: float = 1.0
    accelerators: int = 0
    run_s: float = 60.0
    data_centres: tuple[str, ...] = ()
    exclusive: bool = False
    urgent: bool = False


@dataclasses.dataclass(frozen=True)
class DataCentreSpec:
    """A data centre that the document names."""

    region: str = ""


@dataclasses.dataclass(frozen=True)
class QuotaSpec:
    """What a team's batch work may reserve at once, over all data centres."""

    processors: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0


@dataclasses.dataclass(frozen=True)
class SectionSpec:
    """A section's content."""

    services: dict[str, ServiceSpec] = dataclasses.field(default_factory=dict)
    families: dict[str, FamilySpec] = dataclasses.field(default_factory=dict)
    data_centres: dict[str, DataCentreSpec] = dataclasses.field(
        default_factory=dict
    )
    quota: QuotaSpec | None = None


@dataclasses.dataclass(frozen=True)
class Section:
    """A section in force."""

    name: str
    version: int
    team: str
    author: str
    text: str
    spec: SectionSpec


@dataclasses.dataclass(frozen=True)
class DataCentreState:
    """Whether a data centre is in service, and who said so."""

    in_service: bool = True
    version: int = 0
    author: str = ""


@dataclasses.dataclass
class State:
    """The document as of a log offset; snapshots carry all but the keys.

    Attributes:
        secret: Secret from which the teams' keys derive, empty for none.
        team_keys: Key by team where the secret is not known; a change of
            another team can't be checked then and is taken as signed.
        is_whole: Whether its stream was read to the tail with no hole.
        sections: Section by name.
        data_centres: State by data centre; absent means in service.
        decisions: Decision on each signed change by id, forgotten after
            HORIZON_OFFSETS.
        refusals: Decision on changes with a wrong key, for their authors;
            the oldest go first.
        homes: Home by exclusive replica.
        offset: Offset of the last record reduced, -1 for none.
    """

    secret: str = dataclasses.field(default="", metadata={"kept": False})
    team_keys: Mapping[str, bytes] | None = dataclasses.field(
        default=None, metadata={"kept": False}
    )
    is_whole: bool = dataclasses.field(
        default=True, compare=False, metadata={"kept": False}
    )
    sections: dict[str, Section] = dataclasses.field(default_factory=dict)
    data_centres: dict[str, DataCentreState] = dataclasses.field(
        default_factory=dict
    )
    decisions: dict[str, Decision] = dataclasses.field(default_factory=dict)
    refusals: dict[str, Decision] = dataclasses.field(default_factory=dict)
    homes: Homes = dataclasses.field(default_factory=dict)
    offset: int = -1

    def find_decision(self, change_id: str) -> Decision | None:
        """Returns the verdict on a change, None where there is none."""
        return self.decisions.get(change_id) or self.refusals.get(change_id)

    def is_in_service(self, data_centre: str) -> bool:
        """Tells whether tasks may start in a data centre."""
        return self.data_centres.get(data_centre, DataCentreState()).in_service

    def find_service(self, name: str) -> tuple[Section, ServiceSpec] | None:
        """Finds a service with the section that declares it."""
        for section in self.sections.values():
            if name in section.spec.services:
                return section, section.spec.services[name]
        return None

    def find_family(self, name: str) -> tuple[Section, FamilySpec] | None:
        """Finds a job family with the section that declares it."""
        for section in self.sections.values():
            if name in section.spec.families:
                return section, section.spec.families[name]
        return None

    def list_data_centres(self) -> tuple[str, ...]:
        """Returns all data centres that the document names, sorted."""
        return tuple(
            sorted(
                {
                    name
                    for section in self.sections.values()
                    for name in section.spec.data_centres
                }
            )
        )


def parse_section(
    text: str,
) -> outcomes.Ok[SectionSpec] | outcomes.Failed:
    """Reads and checks a section's text.

    Args:
        text: TOML; empty is an empty section.

    Returns:
        The content, or the faults, each with its line and key.
    """
    if len(text.encode()) > MAX_SECTION_BYTES:
        return _fail_parse(
            "bad-size", f"the section must not pass {MAX_SECTION_BYTES} bytes"
        )
    try:
        spec = strict.read_toml(text, SectionSpec)
    except strict.WrongValueError as error:
        return _fail_parse("bad-section", str(error))
    faults = [
        strict.describe_key(text, key, what) for key, what in _find_faults(spec)
    ]
    if faults:
        return _fail_parse("bad-value", "; ".join(faults))
    return outcomes.Ok(spec)


def _fail_parse(reason: str, detail: str) -> outcomes.Failed:
    return outcomes.Failed(outcomes.Step.PARSE, "", reason, detail)


def _find_faults(spec: SectionSpec) -> Iterator[tuple[str, str]]:
    """Yields key and fault of each value out of range."""
    for name, service in spec.services.items():
        if service.replicas < 0:
            yield f"services.{name}.replicas", "must be 0 or more"
        if service.target_ms <= 0:
            yield f"services.{name}.target_ms", "must be above 0"
    for name, family in spec.families.items():
        if family.run_s <= 0:
            yield f"families.{name}.run_s", "must be above 0"
    tables = {"services": spec.services, "families": spec.families}
    for kind, table in tables.items():
        for name, item in table.items():
            yield from _find_size_faults(f"{kind}.{name}", item)
    named = {**tables, "data_centres": spec.data_centres}
    for kind, table in named.items():
        for name in table:
            if not NAME.fullmatch(name):
                yield (
                    f"{kind}.{name}",
                    "a name must be 1 to 63 letters, digits, '.', '_' or '-'",
                )


def _find_size_faults(
    key: str, item: ServiceSpec | FamilySpec
) -> Iterator[tuple[str, str]]:
    if item.processors <= 0:
        yield f"{key}.processors", "must be above 0"
    if item.memory_gb <= 0:
        yield f"{key}.memory_gb", "must be above 0"
    if item.accelerators < 0:
        yield f"{key}.accelerators", "must be 0 or more"


def derive_key(secret: str, team: str) -> bytes:
    """Derives a team's signing key from the deployment's secret."""
    return hmac.new(secret.encode(), team.encode(), hashlib.sha256).digest()


def sign_change(change: Change, key: bytes) -> Change:
    """Returns the change with its signature filled in."""
    digest = hmac.new(key, _serialize_unsigned(change), hashlib.sha256)
    return dataclasses.replace(change, signature=digest.hexdigest())


def _serialize_unsigned(change: Change) -> bytes:
    return records.encode_batch((dataclasses.replace(change, signature=""),))


def is_signed(state: State, change: Change) -> bool:
    """Tells whether a change carries its team's signature."""
    if state.team_keys is None:
        key = derive_key(state.secret, change.team)
    elif change.team in state.team_keys:
        key = state.team_keys[change.team]
    else:
        return True
    signed = sign_change(change, key)
    return hmac.compare_digest(
        signed.signature.encode(), change.signature.encode()
    )


def apply_section(state: State, event: events.RecordRead) -> list:
    """Reduces a SectionPublished record."""
    change = event.record
    current = state.sections.get(change.section)
    version = current.version if current else 0
    refused = _refuse_early(state, event, change.section, version)
    if refused is not None:
        return refused
    verdict, winner, reason = _judge_section(state, change, current)
    if verdict is Verdict.ACCEPTED:
        version += 1
        _replace_section(state, change, version)
    return _record_decision(
        state, event, change.section, (verdict, winner, version, reason)
    )


def _refuse_early(
    state: State, event: events.RecordRead, subject: str, version: int
) -> list | None:
    """Ends what needs no judgement: wrong key, duplicate, too late.

    A change without its team's key must not stand in the way of a signed one
    under the same id, so its verdict is kept apart. A second copy of a change
    finds the first one's verdict, or lands more than HORIZON_OFFSETS after
    what its author had seen: it can never be judged anew.
    """
    change = event.record
    if not is_signed(state, change):
        return _record_refusal(state, event, subject, version, "wrong team key")
    if change.change_id in state.decisions:
        return [effects.Count("poplarspindle_records_total", "duplicate")]
    if not -1 <= change.seen < event.offset:
        return _record_refusal(
            state, event, subject, version, "seen is not an earlier offset"
        )
    if event.offset - change.seen > HORIZON_OFFSETS:
        reason = "it came too late; look at the present state and try again"
        return _record_refusal(state, event, subject, version, reason)
    return None


def _judge_section(
    state: State, change: records.SectionPublished, current: Section | None
) -> tuple[Verdict, str, str]:
    version = current.version if current else 0
    winner = current.author if current else ""
    if not NAME.fullmatch(change.section):
        return Verdict.REFUSED, "", "bad section name"
    if current and current.team != change.team:
        reason = f"section {change.section} belongs to team {current.team}"
        return Verdict.REFUSED, winner, reason
    if change.base_version != version:
        reason = (
            f"version {version} by {winner} is in force,"
            f" the change was made on {change.base_version}"
        )
        return Verdict.CONFLICT, winner, reason
    match parse_section(change.text):
        case outcomes.Failed() as failed:
            return Verdict.REFUSED, "", failed.detail
        case outcomes.Ok(spec):
            conflict = _find_taken(state, change.section, spec)
            if conflict:
                return Verdict.REFUSED, "", conflict
    return Verdict.ACCEPTED, "", "in force"


def _find_taken(state: State, section: str, spec: SectionSpec) -> str:
    """Returns which name another section declares already, if any."""
    others = [s for s in state.sections.values() if s.name != section]
    conflicts = (
        f"{kind} {name} is declared by section {other.name}"
        for other in others
        for kind, mine, theirs in (
            ("service", spec.services, other.spec.services),
            ("family", spec.families, other.spec.families),
        )
        for name in mine
        if name in theirs
    )
    return next(conflicts, "")


def _replace_section(
    state: State, change: records.SectionPublished, version: int
) -> None:
    state.sections[change.section] = Section(
        change.section,
        version,
        change.team,
        change.author,
        change.text,
        parse_section(change.text).value,
    )


def apply_data_centre(state: State, event: events.RecordRead) -> list:
    """Reduces a DataCentreSet record."""
    change = event.record
    name = change.data_centre
    current = state.data_centres.get(name, DataCentreState())
    refused = _refuse_early(state, event, name, current.version)
    if refused is not None:
        return refused
    verdict, winner, reason = _judge_data_centre(state, change, current)
    version = current.version
    if verdict is Verdict.ACCEPTED:
        version += 1
        state.data_centres[name] = DataCentreState(
            change.in_service, version, change.author
        )
    return _record_decision(
        state, event, name, (verdict, winner, version, reason)
    )


def _judge_data_centre(
    state: State, change: records.DataCentreSet, current: DataCentreState
) -> tuple[Verdict, str, str]:
    name = change.data_centre
    if name not in state.list_data_centres() and not current.version:
        reason = f"no section names data centre {name}"
        return Verdict.REFUSED, "", reason
    if change.base_version != current.version:
        stands = "in" if current.in_service else "out"
        reason = f"{current.author} set it to {stands} first"
        return Verdict.CONFLICT, current.author, reason
    return Verdict.ACCEPTED, "", "in force"


def _record_decision(
    state: State,
    event: events.RecordRead,
    subject: str,
    judged: tuple[Verdict, str, int, str],
) -> list:
    change = event.record
    decision = Decision(
        *judged, subject, change.team, change.author, event.offset
    )
    state.refusals.pop(change.change_id, None)
    state.decisions[change.change_id] = decision
    oldest_seen_offset = event.offset - HORIZON_OFFSETS
    forgotten = itertools.takewhile(
        lambda name: state.decisions[name].offset < oldest_seen_offset,
        state.decisions,
    )
    for name in list(forgotten):
        del state.decisions[name]
    return [effects.Count("poplarspindle_records_total", decision.verdict)]


def _record_refusal(
    state: State,
    event: events.RecordRead,
    subject: str,
    version: int,
    reason: str,
) -> list:
    change = event.record
    if change.change_id not in state.decisions:
        state.refusals[change.change_id] = Decision(
            Verdict.REFUSED,
            "",
            version,
            reason,
            subject,
            change.team,
            change.author,
            event.offset,
        )
    if len(state.refusals) > REFUSALS_KEPT:
        del state.refusals[next(iter(state.refusals))]
    return [effects.Count("poplarspindle_records_total", "refused")]
