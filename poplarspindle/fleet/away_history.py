"""What the owner remembers of lasting tasks that do not run."""

import dataclasses

from poplarspindle import resources
from poplarspindle.fleet import work

StepKey = tuple[str, int, int]  # Job id, occurrence and step number.


@dataclasses.dataclass(frozen=True, slots=True)
class KeptRoom:
    """Room of a worker that is kept free for tasks; see `lasting_turns`.

    Attributes:
        key: The step of the task, or of the tasks of a gang.
        priority: Priority of the task's queue; work that is more urgent may
            use the room.
        need: What the task reserves, or those of the gang that are to be there.
        since: Since when it is kept, on the owner's monotonic clock.
        members: How many tasks of a gang that are, 0 for a task by itself; see
            `kept_gangs`.
    """

    key: StepKey
    priority: int
    need: resources.Resources
    since: float
    members: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """What lasting tasks need that find the same room; see `room_margin`.

    Attributes:
        service: Service whose workers may take them.
        need: What each reserves.
        label: Label of workers that may take them, empty for any.
        places: For how many of them there has to be room.
        spare_millicores: Processors of which a share has to be spare, for
            tasks that reserve none.
        limited_step: The step, if it has a limit per worker.
    """

    service: str
    need: resources.Resources
    label: str
    places: int
    spare_millicores: int
    limited_step: StepKey | None


@dataclasses.dataclass(slots=True)
class ReportedRoom:
    """For how long workers have reported room for tasks that are away.

    Attributes:
        looked_at: When it was last looked.
        overdue: By step, the task that has been away for longest, and since
            when; only of steps whose tasks may not be away any more.
        kinds: Kind of each of these steps.
        configuration_version: Version of the configuration that these are of.
        room_since: Since when there has been room without a break, by kind.
        now_ms: Longest wait beside room at the last look, milliseconds.
        worst_ms: The longest since the owner began.
        logged_ms: Up to where a longer one was logged.
    """

    looked_at: float = float("-inf")
    overdue: dict[StepKey, tuple[float, work.TaskName]] = dataclasses.field(
        default_factory=dict
    )
    kinds: dict[StepKey, Kind] = dataclasses.field(default_factory=dict)
    configuration_version: int | None = None
    room_since: dict[Kind, float] = dataclasses.field(default_factory=dict)
    now_ms: int = 0
    worst_ms: int = 0
    logged_ms: int = 0


@dataclasses.dataclass(slots=True)
class AwayHistory:
    """Lasting tasks that are not known to run.

    Times are on the owner's monotonic clock.

    Attributes:
        since: Since when each of them does not run, as far as is known.
        logged_at: When each of them was last logged.
        reviewed_at: When it was last looked which these are.
        lines_at: When some of them were last logged.
        turns: Since when steps are away that go before other work, by step;
            see `lasting_turns`.
        turns_reviewed_at: When these were last chosen.
        late_turns: How many tasks of steps go before more urgent work, by step;
            see `late_turns`.
        late_chosen_at: When these steps were last chosen.
        kept_at: When room was last kept in vain, by step.
        room: For how long they have waited beside room; see `room_margin`.
    """

    since: dict[work.TaskName, float] = dataclasses.field(default_factory=dict)
    logged_at: dict[work.TaskName, float] = dataclasses.field(
        default_factory=dict
    )
    reviewed_at: float = float("-inf")
    lines_at: float = float("-inf")
    turns: dict[StepKey, float] = dataclasses.field(default_factory=dict)
    turns_reviewed_at: float = float("-inf")
    late_turns: dict[StepKey, int] = dataclasses.field(default_factory=dict)
    late_chosen_at: dict[StepKey, float] = dataclasses.field(
        default_factory=dict
    )
    kept_at: dict[StepKey, float] = dataclasses.field(default_factory=dict)
    room: ReportedRoom = dataclasses.field(default_factory=ReportedRoom)
