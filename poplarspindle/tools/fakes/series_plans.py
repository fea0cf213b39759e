"""Plans of walks with series of disturbances, by name."""

import dataclasses

from poplarspindle.tools.fakes import series, series_strikes

BUSY = {
    "ending_share": 1.4,
    "run_s": (0.1, 0.5),
    "append_s": 0.1,
    "series": 1,
}
# Each job has several tasks; most of them may not share a worker.
APART = (
    {},
    {"max_per_worker": 1},
    {"max_per_worker": 1},
    {"max_per_worker": 2},
    {"image": "s", "target_ms": 9, "max_per_worker": 1},
)
FULL = series.Plan(
    (
        *(3 * (series_strikes.crash_quarter_for_good,)),
        series_strikes.crash,
        series_strikes.crash_some,
        series_strikes.cut,
        series_strikes.drain,
        series_strikes.delay_orders,
        series_strikes.replace_owner,
        series_strikes.kill_owner,
    ),
    workers=16,
    ending_share=0.5,
    run_s=(0.3, 1.5),
    append_s=0.1,
    order_s=0.1,
    series=1,
    unending=True,
    ending_cores=3,
    lasting_share=0.73,  # 97 % once a quarter of the workers is gone.
    lasting_cores=4,
    lasting_options=APART,
)
PLANS = {
    "workers": series.Plan(series_strikes.WORKERS),
    "owners": series.Plan(
        (*series_strikes.OWNERS, series_strikes.crash, series_strikes.cut)
    ),
    "store": series.Plan(
        (*series_strikes.STORE, series_strikes.crash, series_strikes.cut)
    ),
    "late": series.Plan(
        (
            series_strikes.delay_orders,
            series_strikes.crash,
            series_strikes.cut,
            series_strikes.replace_owner,
        )
    ),
    "lost": series.Plan(
        (
            series_strikes.lose_messages,
            series_strikes.crash_some,
            series_strikes.crash_in_cut,
            series_strikes.replace_owner,
        )
    ),
    "gone": series.Plan(
        (
            series_strikes.crash_for_good,
            series_strikes.lose_messages,
            *series_strikes.OWNERS,
        ),
        8,
    ),
    "deadly": series.Plan(
        (
            series_strikes.submit_deadly,
            series_strikes.lose_messages,
            series_strikes.replace_owner,
        ),
        deadly=True,
    ),
    "deadly-lasting": series.Plan(
        (
            series_strikes.submit_deadly_lasting,
            series_strikes.crash_for_good,
            series_strikes.lose_messages,
            series_strikes.replace_owner,
        ),
        8,
        deadly=True,
        down_s=7.0,
    ),
    "fills": series.Plan(series_strikes.ALL, best_effort=0.5, ending_share=0.6),
    "failing": series.Plan(
        (series_strikes.fail_runs, series_strikes.replace_owner)
    ),
    "all": series.Plan(series_strikes.ALL),
    "busy": series.Plan(series_strikes.ALL, **BUSY),
    "full": FULL,
    "pieces": dataclasses.replace(FULL, ending_share=0.3, ending_cores=1),
}
