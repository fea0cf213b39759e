"""Two jobs that can't be done have all minions passed over for long."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import standins  # noqa: E402

MINIONS = 8
CPU = 32000
SOUND = 40  # Jobs before; two in 43 can never be done.
WIDTH = 32
FINISH_S = 14.0  # bounds.finish_s


def main() -> int:
    with standins.Fleet(HERE, minions=MINIONS, cpu=CPU) as fleet:
        record = fleet.record
        if not fleet.wait_ready():
            record.add("not-run", "the nodes are not ready")
            return 2
        time.sleep(3.0)
        sound = {"count": 4, "cpu": 2000, "mem_mb": 256, "estimated_ms": 300}
        jobs = []
        for _ in range(SOUND):
            jobs.append(fleet.submit([sound], 300, 2000))
            time.sleep(0.4)
        time.sleep(2.0)
        wide = {"count": WIDTH, "cpu": 3500, "mem_mb": 256,
                "estimated_ms": 300}
        for _ in range(2):
            more = {"fail_ms": 100} if standins.TROUBLE else {}
            fleet.submit([wide], 300, 3500, **more)
        time.sleep(1.5)
        jobs.append(fleet.submit([sound], 300, 2000))
        over_at = record.now()
        record.add("traffic-over")
        if not all(jobs):
            record.add("not-run", "a job was not accepted")
            return 2
        waited = dict.fromkeys(jobs, 0.0)
        longest = dict(waited)
        busiest = 0
        while record.now() - over_at < FINISH_S + 8.0:
            time.sleep(0.1)
            done = {row[4].partition("#")[0] for row in record.find("end")
                    if row[5] == "done"}
            busiest = max(busiest, sum(minion.count_used()
                                       for minion in fleet.minions))
            for job in jobs:
                ended = sum(task.startswith(job) for task in done)
                if ended == 4 or fleet.find_runs(job):
                    waited[job] = 0.0
                elif record.now() - over_at >= FINISH_S:
                    waited[job] += 0.1
                longest[job] = max(longest[job], waited[job])
        worst = max(jobs, key=longest.get)
        record.add("judged", worst, fleet.show(worst), "nothing running for",
                   round(longest[worst], 1), "s; most in use", busiest, "of",
                   MINIONS * CPU)
        if longest[worst] > 3.0 and busiest < MINIONS * CPU / 2:
            record.add("broken", "LOST: a job has nothing running for 3 s")
            return 1
        record.add("held")
        return 0


sys.exit(main())
