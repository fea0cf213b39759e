"""Loses chosen messages of the virtual fleet; lost polls may come late."""

import typing
from collections.abc import Callable, Collection

from poplarspindle.tools.fakes import late_orders, messages

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets

STEP_S = 0.05
PATIENCE_S = 10.0  # Workers are polled each second or two.


def lose_polls(
    world: "fleets.World",
    worker: str = "w0",
    tries: int = 2,
    kinds: Collection[messages.Kind] = late_orders.POLLS,
) -> None:
    """Loses the next poll of some kinds, and what repeats it.

    Args:
        world: The world; time passes until they were sent.
        worker: Name of the worker.
        tries: How many polls in a row are lost.
        kinds: Kinds of the first one.
    """
    left = tries
    is_lost = world.late_orders.is_lost

    def lose(share: float, message: messages.Message) -> bool:
        nonlocal left
        is_first = left == tries
        wanted = kinds if is_first else late_orders.POLLS
        if not left or message.worker != worker or message.kind not in wanted:
            return is_lost(share, message)
        left -= 1
        return True

    world.late_orders.is_lost = lose
    until = world.now + PATIENCE_S
    while left:
        world.run(STEP_S)
        assert world.now < until
    world.late_orders.is_lost = is_lost


def lose_messages(
    world: "fleets.World",
    workers: Collection[str],
    kinds: Collection[messages.Kind] = tuple(messages.Kind),
) -> Callable[[], None]:
    """Lets no messages reach some workers, now or late.

    Args:
        world: The world.
        workers: Names of the workers.
        kinds: Kinds of the messages.

    Returns:
        A function that ends it.
    """
    choose_before = world.choose_fate

    def choose(message: messages.Message) -> messages.Fate:
        if message.worker in workers and message.kind in kinds:
            return messages.Fate(None, answered=False)
        return choose_before(message)

    world.choose_fate = choose

    def mend() -> None:
        world.choose_fate = choose_before

    return mend
