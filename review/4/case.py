"""A gang that failed once is shown as `failed` although it has two attempts.

A gang of 16 on eight minions. One minion fails whatever it starts, also the
two members of the gang that it gets.
"""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import harness  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASKS = 16
STEP = {
    "count": TASKS,
    "cpu": 2000,
    "mem_mb": 1000,
    "estimated_ms": 1000,
    "gang": True,
}


def case(deployment, trouble):
    if trouble:
        name = sorted(deployment.minions)[0]
        index = deployment.minions[name].index
        deployment.failing.add(index)
        deployment.kill_minion(name)
        deployment.start_minion(index)
        time.sleep(8.0)  # Long after the restart.
    if not deployment.submit(JOB, {"ms": 1000, "gang": TASKS}, [STEP]):
        raise harness.CannotRun("the job was not accepted")
    until = time.time() + 30
    state = ""
    while time.time() < until and state not in ("completed", "failed"):
        time.sleep(0.25)
        state = deployment.show(JOB)
    rows = [row for row in deployment.read_ledger() if row["event"] == "end"]
    attempts = {row["attempt"] for row in rows}
    failed = {row["attempt"] for row in rows if row["how"] == "failed"}
    if trouble and not failed:
        raise harness.CannotRun("no member failed")
    if state == "failed" and len(failed) < deployment.max_attempts:
        return (
            f"the job is shown as `failed` after {len(attempts)} run of the gang,"
            f" {len(failed)} of which failed; max_attempts is"
            f" {deployment.max_attempts}"
        )
    return "" if state in ("completed", "failed") else f"the state is {state!r}"


harness.main(FOLDER, case, minions=8, nodes=3, max_attempts=2)
