"""Processes that claim the fleet are killed; counts of pending jobs are wrong."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib3"))

import world as world_module  # noqa: E402

NODES = ("n1", "n2", "n3", "n4", "n5")
JOBS = 12
KILLS = 3  # The owner, and the next two that write under a condition.
RESTART_S = 0.5
VISIBLE_S = 3.0  # bounds.visible_ms
STABLE_S = 3.0  # bounds.stable_window_ms
PIPELINE = [{"count": 2, "cpu": 500, "mem_mb": 200, "estimated_ms": 500}]


def case(world, trouble):
    world.configure(1, ["/q/"])
    for name in NODES:
        world.start_node(name, world.store.listen(name))
    world.wait_until_ready()
    disturbed_at = {name: time.monotonic() - 9 for name in NODES}
    kills = []

    def restart(name):
        time.sleep(RESTART_S)
        world.nodes[name]["process"].wait()
        disturbed_at[name] = time.monotonic()
        world.start_node(name, world.store.listen(name))

    def kill(name):
        kills.append(name)
        disturbed_at[name] = float("inf")
        world.signal_node(name, signal.SIGKILL)
        threading.Thread(target=restart, args=(name,), daemon=True).start()

    def on_conditional_write(name):
        if trouble and len(kills) < KILLS:
            kill(name)

    if trouble:
        world.store.on_conditional_write = on_conditional_write
        kill(world.find_owner())
    accepted = {}
    for number in range(JOBS):
        job = f"{0xA0 + number:016x}"
        calm = [name for name in NODES if disturbed_at[name] < float("inf")]
        for _ in range(5):
            if world.submit(calm[number % len(calm)], job, PIPELINE) == 200:
                accepted[job] = time.monotonic()
                break
    if len(accepted) < JOBS:
        raise world_module.Unfit("jobs were not accepted")
    broken = []
    deadline = time.monotonic() + 14
    while time.monotonic() < deadline and len(broken) < 5:
        time.sleep(0.1)
        for name in NODES:
            asked_at = time.monotonic()
            if asked_at - disturbed_at[name] < STABLE_S:
                continue  # Not in touch.
            begun = {row[1].split(".")[0] for row in list(world.starts)}
            due = [
                job
                for job, at in accepted.items()
                if asked_at - at > VISIBLE_S + 2 and job not in begun
            ]
            if not due:
                continue
            status, fields = world.call(name, "GET", "/q/")
            begun = {row[1].split(".")[0] for row in list(world.starts)}
            due = [job for job in due if job not in begun]
            if status == 200 and fields.get("pending", 0) < len(due) / 2:
                broken.append(
                    f"MIXED: {name} gives {fields['pending']} jobs as pending;"
                    f" {len(due)} were accepted over {VISIBLE_S + 2:.0f} s"
                    " before and have not begun"
                )
    world.record.write(f"killed: {kills}")
    return broken


world_module.run(FOLDER, case)
