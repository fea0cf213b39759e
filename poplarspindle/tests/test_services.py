"""Services as tasks: roll-outs, homes and failures, in virtual time."""

import pytest

from poplarspindle import services
from poplarspindle.tools import fuzz, world

SHARED = "service/quotes"
ALONE = "service/bookings/0"
TEXT = world.CENTRES_TEXT + world.SERVICES_TEXT


def start(text=TEXT):
    scene = world.World(3, instances=2, text=text)
    assert fuzz.settle(scene) == []
    return scene


def list_running(scene, prefix):
    return [
        run
        for run in scene.fakes.ledger
        if run.task.startswith(prefix) and run.ended is None
    ]


@pytest.mark.parametrize("prefix", [SHARED, "service/bookings"])
def test_new_sizes_replace_one_replica_at_a_time(prefix):
    scene = start()
    scene.publish(TEXT.replace("0.5", "0.25"))
    fewest = 2
    for _ in range(240):
        scene.step()
        fewest = min(fewest, len(list_running(scene, prefix)))
    sizes = {r.need.millicores for r in list_running(scene, prefix)}
    assert (fewest, sizes) == (1, {250})


def test_exclusive_replica_follows_its_home_out_and_stays():
    scene = start()
    (before,) = list_running(scene, ALONE)
    scene.set_centre(before.data_centre, False)
    for _ in range(120):
        scene.step()
    (moved,) = list_running(scene, ALONE)
    assert moved.data_centre != before.data_centre
    assert before.ended <= moved.began
    scene.set_centre(before.data_centre, True)
    for _ in range(120):
        scene.step()
    assert list_running(scene, ALONE) == [moved]


def test_removed_service_stops_and_comes_back_in_the_next_generation():
    scene = start()
    scene.publish(world.CENTRES_TEXT)
    for _ in range(80):
        scene.step()
    assert not list_running(scene, "service/")
    scene.publish(TEXT)
    assert fuzz.settle(scene) == []
    (run,) = list_running(scene, ALONE)
    assert run.task == f"{ALONE}@2/0"


def test_failing_service_is_tried_again_ever_more_slowly():
    scene = world.World(3, instances=1)
    for worker in scene.fakes.workers.values():
        worker.fails_all = True
    counts = []
    for _ in range(2):
        for _ in range(160):
            scene.step()
        counts.append(sum(r.task.startswith(ALONE) for r in scene.fakes.ledger))
    assert 1 < counts[0] <= 8
    assert 0 < counts[1] - counts[0] < counts[0]


def test_replicas_of_a_data_centre_that_leaves_are_the_only_ones_to_move():
    scene = start()
    document_state = scene.instances[0].state.document
    before = {r.name: r.place for r in services.list_replicas(document_state)}
    scene.set_centre("lesse", False)
    for _ in range(8):
        scene.step()
    after = {r.name: r.place for r in services.list_replicas(document_state)}
    stayed = {n: p for n, p in before.items() if p != "lesse"}
    assert stayed.items() <= after.items()
    assert "lesse" not in after.values()


@pytest.mark.parametrize(("dead", "known"), [(False, True), (True, False)])
def test_replaced_worker_is_forgotten_once_it_answers_nobody(dead, known):
    scene = start()
    name = "lesse-0"
    if dead:
        scene.fakes.workers[name].kill(scene.now)
    scene.members = [m for m in scene.members if m.name != name]
    for _ in range(120):
        scene.step()
    owner = scene.instances[0].state.cells["lesse"].table.owner
    (state,) = (i.state for i in scene.instances if i.name == owner)
    assert (name in state.cells["lesse"].view.workers) is known
