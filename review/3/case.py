"""A task of an accepted job is not at work for 20 s while the pool is idle.

Eight minions; one of them turns silent for good: its process is stopped and
never goes on. Right after that a job of 16 short tasks is handed in, the last
of the traffic. From `finish_s` after that on, the job is looked at for 3 s.
"""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import harness  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASKS = 16
WORK_S = 0.5
FINISH_S = 14.0
IDLE_S = 3.0
STEP = {"count": TASKS, "cpu": 2000, "mem_mb": 1000, "estimated_ms": 500}


def case(deployment, trouble):
    if trouble:
        deployment.kill_minion(sorted(deployment.minions)[0], signal.SIGSTOP)
        time.sleep(0.1)
    if not deployment.submit(JOB, {"ms": int(WORK_S * 1000)}, [STEP]):
        raise harness.CannotRun("the job was not accepted")
    traffic_ended = time.time()
    while time.time() < traffic_ended + FINISH_S:
        time.sleep(1.0)
        deployment.show(JOB)
    first = time.time()
    states = []
    while time.time() < first + IDLE_S + 0.2:
        states.append(deployment.show(JOB))
        time.sleep(0.25)
    last = time.time()
    rows = deployment.read_ledger()
    # For the record only: how long did the last task wait?
    while time.time() < traffic_ended + 35 and deployment.show(JOB) != "completed":
        time.sleep(0.5)
    deployment.note("waited", s=round(time.time() - traffic_ended, 1))
    if "" in states:
        return "a GET got no answer"
    done = {r["task"] for r in rows if r["event"] == "end" and r["how"] == "done"}
    at_work = any(
        row["event"] == "start" and first - WORK_S <= row["t"] <= last
        for row in rows
    )
    if "completed" not in states and len(done) < TASKS and not at_work:
        return (
            f"{TASKS - len(done)} of {TASKS} tasks are not done, and no minion"
            f" runs one, from {first - traffic_ended:.1f} s to"
            f" {last - traffic_ended:.1f} s after the end of the traffic; seven"
            " of eight minions are sound and empty"
        )
    return ""


harness.main(FOLDER, case, minions=8, nodes=3, max_attempts=3)
