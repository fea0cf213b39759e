"""The table of all settings: names, defaults, units and allowed values."""

import dataclasses

ENVIRONMENT_PREFIX = "POPLARSPINDLE_"

ENTRY = "entry"
SCHEDULER = "scheduler"
CTL = "ctl"
LOAD = "load"
STANDIN = "standin"


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """One setting.

    Attributes:
        name: Name in snake case.
        default: Default value; its type is the setting's type.
        summary: One sentence, with the unit.
        programs: Programs that read it.
        low: Least value of a number.
        high: Greatest value of a number.
        choices: Allowed values of a text, empty for any.
    """

    name: str
    default: str | int | float | bool
    summary: str
    programs: tuple[str, ...]
    low: float = float("-inf")
    high: float = float("inf")
    choices: tuple[str, ...] = ()

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def allowed(self) -> str:
        """What values are allowed, in words."""
        if isinstance(self.default, bool):
            return "true or false"
        if isinstance(self.default, int | float):
            kind = "whole number" if isinstance(self.default, int) else "number"
            return f"a {kind} from {self.low:g} to {self.high:g}"
        if self.choices:
            return "one of " + ", ".join(self.choices)
        return "text"


_BOTH = (ENTRY, SCHEDULER)
_ALL = (ENTRY, SCHEDULER, CTL)

DEFAULT_SETTINGS = (
    Setting(
        "log_url",
        "http://127.0.0.1:7000",
        "URL of the platform's log service.",
        _ALL,
    ),
    Setting(
        "list_url",
        "http://127.0.0.1:7000",
        "URL of the platform's instance list.",
        _ALL,
    ),
    Setting(
        "address",
        "127.0.0.1:0",
        "Address and port of the HTTP interface; port 0 lets the system"
        " choose.",
        (*_BOTH, STANDIN),
    ),
    Setting(
        "peer_address",
        "127.0.0.1:0",
        "Address and port for streams between our own programs.",
        _BOTH,
    ),
    Setting("data_centre", "", "Data centre this instance stands in.", _BOTH),
    Setting(
        "incarnation",
        "",
        "Name that this process's id starts with; the rest is random at each"
        " start.",
        _BOTH,
    ),
    Setting(
        "team_secret",
        "",
        "Secret from which each team's signing key is derived.",
        _ALL,
    ),
    Setting(
        "team_key",
        "",
        "The team's own key in hex, as `poplarspindle-ctl key` prints it, in"
        " place of the secret.",
        (CTL,),
    ),
    Setting(
        "settle_s",
        10.0,
        "Time allowed to publish a change and read it back, seconds.",
        (CTL,),
        low=0.1,
        high=600,
    ),
    Setting(
        "log_format",
        "text",
        "Form of the log lines.",
        (*_ALL, LOAD, STANDIN),
        choices=("text", "json"),
    ),
    Setting(
        "log_level",
        "info",
        "Least level of log lines written.",
        (*_ALL, LOAD, STANDIN),
        choices=("debug", "info", "warning", "error"),
    ),
    Setting(
        "lease_s",
        6.0,
        "Lease of an owner on its data centre, seconds.",
        (SCHEDULER,),
        low=0.2,
        high=600,
    ),
    Setting(
        "task_lease_s",
        20.0,
        "Lease of a task at its worker, seconds.",
        (SCHEDULER,),
        low=0.5,
        high=600,
    ),
    Setting(
        "hold_s",
        600.0,
        "How long an owner goes on renewing task leases without the log,"
        " seconds.",
        (SCHEDULER,),
        low=1,
        high=86400,
    ),
    Setting(
        "fresh_s",
        2.0,
        "Greatest age of the last read to the tail for a task start, seconds.",
        (SCHEDULER,),
        low=0.1,
        high=60,
    ),
    Setting(
        "sync_s",
        1.0,
        "Time between two syncs with a worker, seconds.",
        (SCHEDULER,),
        low=0.05,
        high=60,
    ),
    Setting(
        "tick_s",
        0.1,
        "Time between two ticks of the reducer, seconds.",
        _BOTH,
        low=0.01,
        high=5,
    ),
    Setting(
        "list_s",
        1.0,
        "Time between two reads of the instance list, seconds.",
        _BOTH,
        low=0.05,
        high=60,
    ),
    Setting(
        "commit_delay_ms",
        20,
        "Greatest time a record waits for others in one append, milliseconds.",
        _BOTH,
        low=0,
        high=1000,
    ),
    Setting(
        "commit_records",
        200,
        "Greatest number of records in one append.",
        _BOTH,
        low=1,
        high=10000,
    ),
    Setting(
        "commit_bytes",
        65536,
        "Greatest size of one append, bytes; one larger record goes alone.",
        _BOTH,
        low=1024,
        high=16777216,
    ),
    Setting(
        "append_buffer_bytes",
        8388608,
        "Greatest size of the records that wait for one stream, bytes.",
        _BOTH,
        low=65536,
        high=268435456,
    ),
    Setting(
        "append_rate",
        30.0,
        "Greatest number of appends a second from this process.",
        _BOTH,
        low=0.1,
        high=1000,
    ),
    Setting(
        "snapshot_appends",
        2000,
        "Appends to a stream after which its state is written as a snapshot.",
        (SCHEDULER,),
        low=10,
        high=1000000,
    ),
    Setting(
        "snapshot_age_s",
        600.0,
        "Greatest age of a stream's newest snapshot, seconds; keep it below a"
        " quarter of the log's retention.",
        (SCHEDULER,),
        low=1,
        high=86400,
    ),
    Setting(
        "platform_timeout_s",
        2.0,
        "Time allowed for one call to the platform, seconds.",
        _ALL,
        low=0.05,
        high=60,
    ),
    Setting(
        "policy",
        "chosen",
        "Placement policy.",
        (SCHEDULER,),
        choices=(
            "chosen",
            "least_loaded",
            "first_fit",
            "random",
            "evict_first",
        ),
    ),
    Setting(
        "attempts",
        4,
        "How often a task may fail before it is given up.",
        (SCHEDULER,),
        low=1,
        high=100,
    ),
    Setting(
        "retry_s",
        1.0,
        "Wait before a failed task's second attempt, seconds; it doubles"
        " with each.",
        (SCHEDULER,),
        low=0,
        high=600,
    ),
    Setting(
        "starve_s",
        30.0,
        "After how long without placement a worker's room is kept for a"
        " family's next task, seconds.",
        (SCHEDULER,),
        low=1,
        high=86400,
    ),
    Setting(
        "protect_s",
        30.0,
        "How long a resumed task is not evicted again, seconds.",
        (SCHEDULER,),
        low=0,
        high=86400,
    ),
    Setting(
        "patience_s",
        20.0,
        "How long batch work waits for a worker whose services it does not"
        " push over their target, seconds.",
        (SCHEDULER,),
        low=0,
        high=86400,
    ),
    Setting(
        "fill_s",
        10.0,
        "How long a data centre fills slowly after its return, seconds.",
        (SCHEDULER,),
        low=0,
        high=3600,
    ),
    Setting(
        "drain_rate",
        20.0,
        "Greatest number of evictions a second while a data centre is emptied.",
        (SCHEDULER,),
        low=0.1,
        high=1000,
    ),
    Setting(
        "drain_grace_s",
        60.0,
        "How long work that has no room elsewhere runs on in a data centre"
        " that is out of service, seconds.",
        (SCHEDULER,),
        low=0,
        high=86400,
    ),
    Setting(
        "standbys",
        0,
        "How many instances follow a data centre beside its owner; 0 for all.",
        (SCHEDULER,),
        low=0,
        high=100,
    ),
    Setting(
        "routing",
        "least_expected",
        "How an entry picks a minion.",
        (ENTRY,),
        choices=("least_local", "least_expected", "two_choices", "random"),
    ),
    Setting(
        "caller_s",
        10.0,
        "Time a caller has for sending a request's head and body, and idle"
        " time after which its connection is closed, seconds.",
        (ENTRY,),
        low=0.05,
        high=600,
    ),
    Setting(
        "service_ms",
        5.0,
        "Median service time of the stand-in's minions, milliseconds.",
        (STANDIN,),
        low=0,
        high=60000,
    ),
    Setting(
        "hard_slots",
        True,
        "Whether the stand-in's minions refuse a request that finds no slot,"
        " in place of queueing it.",
        (STANDIN,),
    ),
    Setting(
        "queue_ms",
        100,
        "Longest wait for a thread after which a request is still served,"
        " milliseconds.",
        (ENTRY,),
        low=1,
        high=600000,
    ),
    Setting(
        "retry_share",
        0.1,
        "Further sends to minions (retries, hedges) per request.",
        (ENTRY,),
        low=0,
        high=1,
    ),
    Setting(
        "hedge_factor",
        3.0,
        "Lateness of an idempotent request at which a second minion is asked"
        " too, in recent latencies; 0 for never.",
        (ENTRY,),
        low=0,
        high=100,
    ),
    Setting(
        "eject_share",
        0.3,
        "Greatest share of minions ejected at once for being slow or broken.",
        (ENTRY,),
        low=0,
        high=1,
    ),
    Setting(
        "slow_factor",
        4.0,
        "Latency against the median of all at which a minion is ejected.",
        (ENTRY,),
        low=1.1,
        high=1000,
    ),
    Setting(
        "silent_s",
        1.0,
        "Time without any answer after which a minion with requests"
        " outstanding counts as silent, seconds.",
        (ENTRY,),
        low=0.05,
        high=600,
    ),
    Setting(
        "idle_s",
        5.0,
        "Longest idle time after which a connection to a minion is used"
        " again, seconds; keep it below the minions' own.",
        (ENTRY,),
        low=0,
        high=600,
    ),
    Setting(
        "batch_below",
        50,
        "Requests to services of a priority below this are batch: they give"
        " way when room is short.",
        (ENTRY,),
        low=0,
        high=1000000,
    ),
    Setting(
        "entries",
        9,
        "Number of entry instances, overlap at replacement included.",
        (ENTRY,),
        low=1,
        high=1000,
    ),
    Setting(
        "threads",
        32,
        "Threads that serve callers.",
        (ENTRY,),
        low=1,
        high=1000,
    ),
    Setting(
        "deadline_ms",
        2000,
        "Deadline of a request that names none, milliseconds.",
        (ENTRY,),
        low=1,
        high=600000,
    ),
    Setting(
        "deadline_most_ms",
        60000,
        "Longest deadline a request may name, milliseconds; a stop waits as"
        " long for requests in flight.",
        (ENTRY,),
        low=1,
        high=600000,
    ),
    Setting(
        "peer_threads",
        32,
        "Questions of other processes answered at once.",
        _BOTH,
        low=1,
        high=1000,
    ),
    Setting(
        "ticket_life_s",
        600.0,
        "How long a request id may be used after it was handed out, seconds.",
        (ENTRY,),
        low=1,
        high=86400,
    ),
    Setting(
        "answer_life_s",
        60.0,
        "How long the answer to a non-idempotent request is kept for a second"
        " send of the same id, seconds.",
        (ENTRY,),
        low=0,
        high=3600,
    ),
    Setting(
        "answer_bytes",
        32000000,
        "Memory for answers kept, bytes.",
        (ENTRY,),
        low=0,
        high=1000000000,
    ),
    Setting(
        "claim_shards",
        4,
        "Log streams that hold claims on caller-chosen ids; equal on all"
        " entries, and not to be changed while such ids are in use.",
        (ENTRY,),
        low=1,
        high=256,
    ),
    Setting(
        "claim_window_s",
        600.0,
        "Greatest age of a caller-chosen id, seconds; the log must keep"
        " records longer by twice clock_skew_s.",
        (ENTRY,),
        low=1,
        high=86400,
    ),
    Setting(
        "clock_skew_s",
        30.0,
        "Greatest difference between the wall clocks of callers and entries,"
        " seconds.",
        (ENTRY,),
        low=0,
        high=3600,
    ),
    Setting(
        "trace_requests",
        20000,
        "Requests whose steps an entry keeps in memory.",
        (ENTRY,),
        low=1,
        high=1000000,
    ),
    Setting(
        "audit_bytes_s",
        2000.0,
        "Bytes a second that an entry writes to the audit stream at most.",
        (ENTRY,),
        low=0,
        high=1000000,
    ),
    Setting(
        "audit_delay_ms",
        1000,
        "Greatest time a trace waits for others in one append, milliseconds.",
        (ENTRY,),
        low=0,
        high=60000,
    ),
    Setting(
        "leave_s",
        3.0,
        "Time an entry still accepts after it was told to stop, seconds.",
        _BOTH,
        low=0,
        high=600,
    ),
)
