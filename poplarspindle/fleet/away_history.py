"""What the owner remembers of lasting tasks that do not run."""

import dataclasses

from poplarspindle import resources
from poplarspindle.fleet import work


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRoom:
    """Room of a worker that is kept free for a task; see `lasting_turns`.

    Attributes:
        priority: Priority of the task's queue; work that is more urgent may
            use the room.
        need: What the task reserves.
    """

    priority: int
    need: resources.Resources


@dataclasses.dataclass(slots=True)
class AwayHistory:
    """Lasting tasks that are not known to run.

    Times are on the owner's monotonic clock.

    Attributes:
        since: Since when each of them does not run, as far as is known.
        logged_at: When each of them was last logged.
        reviewed_at: When it was last looked which these are.
        lines_at: When some of them were last logged.
    """

    since: dict[work.TaskName, float] = dataclasses.field(default_factory=dict)
    logged_at: dict[work.TaskName, float] = dataclasses.field(
        default_factory=dict
    )
    reviewed_at: float = float("-inf")
    lines_at: float = float("-inf")
