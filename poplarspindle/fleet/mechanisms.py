"""Names the mechanisms by which the owner decides under load.

Each mechanism can be switched off by itself, to embed the decisions without it
or to measure what it is worth. The load pattern of each stands in the module
that implements it; docs/design/further-load.md has the table.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Mechanisms:
    """Which mechanisms the owner uses; all by default.

    Attributes:
        pack_critical: Packs latency-critical tasks on few workers, so that
            workers stay free for best-effort tasks.
        pack_by_image: Packs a latency-critical task beside its own image
            rather than beside others.
        keep_workers_free: Takes a worker without latency-critical tasks last.
        vacate_workers: Moves latency-critical tasks away from one worker when
            best-effort tasks find none.
        level_peaks: Predicts a tail latency from its recent peak, not only
            from its present value.
        plan_paces: Plans the paces of best-effort runs from learned weights;
            else each measurement changes them by one step.
        move_slowed: Stops best-effort runs that a worker has to run slowly, to
            resume them elsewhere.
        rank_stages: Places what can end in time before what is late.
        rank_worth: Orders steps by remaining work per worth; else by age.
        measured_use: Counts best-effort runs with the processors that they
            use, not with those that they request.
        start_starved: Starts a task of a best-effort job of which nothing
            runs after a wait, whatever harm is predicted, in an idle pool.
        exclude_failing: Excludes workers that fail runs of several jobs.
        avoid_failed: Retries a failed task on another worker.
    """

    pack_critical: bool = True
    pack_by_image: bool = True
    keep_workers_free: bool = True
    vacate_workers: bool = True
    level_peaks: bool = True
    plan_paces: bool = True
    move_slowed: bool = True
    rank_stages: bool = True
    rank_worth: bool = True
    measured_use: bool = True
    start_starved: bool = True
    exclude_failing: bool = True
    avoid_failed: bool = True


ALL = Mechanisms()
