"""The operators' document: sections, versions and verdicts on changes.

Every instance reduces the same records in the same order, so all reach the
same verdict on each change with no vote between them.
"""

import dataclasses
import enum
import hashlib
import hmac
import tomllib

import cattrs

from poplarspindle import effects, events, homes, outcomes, records

VERDICTS_KEPT = 4096
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
    """

    verdict: Verdict
    winner: str
    version: int
    reason: str


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
        sections: Section by name.
        data_centres: State by data centre; absent means in service.
        decisions: Decision by change id, oldest dropped past VERDICTS_KEPT.
        homes: Home by exclusive replica.
        offset: Offset of the last record reduced, -1 for none.
    """

    secret: str = dataclasses.field(default="", metadata={"kept": False})
    sections: dict[str, Section] = dataclasses.field(default_factory=dict)
    data_centres: dict[str, DataCentreState] = dataclasses.field(
        default_factory=dict
    )
    decisions: dict[str, Decision] = dataclasses.field(default_factory=dict)
    homes: Homes = dataclasses.field(default_factory=dict)
    offset: int = -1

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


_converter = cattrs.Converter(forbid_extra_keys=True)


def parse_section(
    text: str,
) -> outcomes.Ok[SectionSpec] | outcomes.Failed:
    """Reads and checks a section's text.

    Args:
        text: TOML; empty is an empty section.

    Returns:
        The content, or the first fault with its key or line.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return _fail_parse("bad-toml", str(error))
    try:
        spec = _converter.structure(table, SectionSpec)
    except Exception as error:
        return _fail_parse(
            "bad-section", "; ".join(cattrs.transform_error(error))
        )
    fault = next(_find_faults(spec), "")
    if fault:
        return _fail_parse("bad-value", fault)
    return outcomes.Ok(spec)


def _fail_parse(reason: str, detail: str) -> outcomes.Failed:
    return outcomes.Failed(outcomes.Step.PARSE, "", reason, detail)


def _find_faults(spec: SectionSpec):
    """Yields a sentence per value out of range."""
    for name, service in spec.services.items():
        if service.replicas < 0:
            yield f"services.{name}.replicas must be 0 or more"
        if service.target_ms <= 0:
            yield f"services.{name}.target_ms must be above 0"
    for kind, table in (
        ("services", spec.services),
        ("families", spec.families),
    ):
        for name, item in table.items():
            if item.processors <= 0:
                yield f"{kind}.{name}.processors must be above 0"
            if item.memory_gb <= 0:
                yield f"{kind}.{name}.memory_gb must be above 0"
            if item.accelerators < 0:
                yield f"{kind}.{name}.accelerators must be 0 or more"


def derive_key(secret: str, team: str) -> bytes:
    """Derives a team's signing key from the deployment's secret."""
    return hmac.new(secret.encode(), team.encode(), hashlib.sha256).digest()


def sign_change(
    change: records.SectionPublished | records.DataCentreSet, key: bytes
) -> records.SectionPublished | records.DataCentreSet:
    """Returns the change with its signature filled in."""
    digest = hmac.new(key, _serialize_unsigned(change), hashlib.sha256)
    return dataclasses.replace(change, signature=digest.hexdigest())


def _serialize_unsigned(change) -> bytes:
    return records.encode_batch((dataclasses.replace(change, signature=""),))


def is_signed(change, secret: str) -> bool:
    """Tells whether a change carries its team's signature."""
    signed = sign_change(change, derive_key(secret, change.team))
    return hmac.compare_digest(signed.signature, change.signature)


def apply_section(state: State, event: events.RecordRead) -> list:
    """Reduces a SectionPublished record."""
    change = event.record
    if change.change_id in state.decisions:
        return [effects.Count("poplarspindle_records_total", "duplicate")]
    current = state.sections.get(change.section)
    decision = _judge_section(state, change, current)
    if decision.verdict is Verdict.ACCEPTED:
        _replace_section(state, change, decision.version)
    return _record_decision(state, change.change_id, decision)


def _judge_section(
    state: State, change: records.SectionPublished, current: Section | None
) -> Decision:
    version = current.version if current else 0
    if not is_signed(change, state.secret):
        return Decision(Verdict.REFUSED, "", version, "wrong team key")
    if current and current.team != change.team:
        return Decision(
            Verdict.REFUSED,
            current.author,
            version,
            f"section {change.section} belongs to team {current.team}",
        )
    if change.base_version != version:
        winner = current.author if current else ""
        return Decision(
            Verdict.CONFLICT,
            winner,
            version,
            f"version {version} by {winner} is in force,"
            f" the change was made on {change.base_version}",
        )
    match parse_section(change.text):
        case outcomes.Failed() as failed:
            return Decision(Verdict.REFUSED, "", version, failed.detail)
    return Decision(Verdict.ACCEPTED, "", version + 1, "in force")


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
    if change.change_id in state.decisions:
        return [effects.Count("poplarspindle_records_total", "duplicate")]
    current = state.data_centres.get(change.data_centre, DataCentreState())
    decision = _judge_data_centre(state, change, current)
    if decision.verdict is Verdict.ACCEPTED:
        state.data_centres[change.data_centre] = DataCentreState(
            change.in_service, decision.version, change.author
        )
    return _record_decision(state, change.change_id, decision)


def _judge_data_centre(
    state: State, change: records.DataCentreSet, current: DataCentreState
) -> Decision:
    if not is_signed(change, state.secret):
        return Decision(Verdict.REFUSED, "", current.version, "wrong team key")
    if change.base_version != current.version:
        return Decision(
            Verdict.CONFLICT,
            current.author,
            current.version,
            f"{current.author} set it to"
            f" {'in' if current.in_service else 'out'} first",
        )
    return Decision(Verdict.ACCEPTED, "", current.version + 1, "in force")


def _record_decision(state: State, change_id: str, decision: Decision) -> list:
    state.decisions[change_id] = decision
    if len(state.decisions) > VERDICTS_KEPT:
        del state.decisions[next(iter(state.decisions))]
    return [effects.Count("poplarspindle_records_total", decision.verdict)]
