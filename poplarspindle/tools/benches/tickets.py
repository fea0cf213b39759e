"""Taking request ids in blocks against one at a time, in one run."""

import json
import time

import urllib3

from poplarspindle import entry, log, settings
from poplarspindle.tools.fakes import platform

IDS = 2000
BLOCKS = (1, 10, 100, 1000)
PASSES = 3


def measure() -> dict:
    """Returns microseconds for one id by block size, and the ratios.

    The block sizes take turns, so that a busy machine touches all alike.
    """
    log.set_up("text", "error")
    plan = platform.Plan(data_centres=("ourthe",), workers=0, minions=1)
    fake = platform.Platform(plan)
    url = fake.start()
    made = entry.Entry(
        settings.make_values(
            settings.ENTRY, log_url=url, list_url=url, leave_s=0.0
        )
    )
    made.start()
    pool = urllib3.PoolManager(retries=False)
    try:
        best = {
            block: min(
                _take_ids(pool, made.address, block) for _ in range(PASSES)
            )
            for block in BLOCKS
        }
    finally:
        made.stop()
        fake.stop()
    costs = {f"us_per_id_block_{block}": best[block] for block in BLOCKS}
    ratios = {
        f"ratio_1_to_{block}": best[1] / best[block] for block in BLOCKS[1:]
    }
    return {
        name: round(value, 2) for name, value in {**costs, **ratios}.items()
    }


def _take_ids(pool: urllib3.PoolManager, address: str, block: int) -> float:
    """Takes IDS ids in blocks; returns microseconds for one id."""
    began = time.perf_counter()
    for _ in range(0, IDS, block):
        answer = pool.request(
            "POST", f"http://{address}/v1/tickets", body=str(block).encode()
        )
        ids = json.loads(answer.data)["ids"]
        if len(ids) != block:
            raise ValueError("the entry gave another number of ids")
    return (time.perf_counter() - began) / IDS * 1e6
