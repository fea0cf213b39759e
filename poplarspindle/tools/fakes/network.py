"""Calls of owners to the workers of the virtual fleet, in virtual time.

Takes the place of `platform.minions`: the real pollers send their orders and
polls here. A poll takes its time; it is answered when a run ends or its wait
is over.
"""

import collections
import dataclasses
import typing
from collections.abc import Callable

from poplarspindle import outcomes
from poplarspindle.fleet import orders, work
from poplarspindle.platform import minions
from poplarspindle.tools.fakes import fleet_workers, in_flight, messages

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets, owners

NETWORK_S = 0.003  # One way between an owner and a worker.

Outcome = orders.Answer | outcomes.Ok[work.Report] | outcomes.Failed
OutcomeCallback = Callable[[typing.Any], None]


class _Call:
    """One call in flight; it gets one outcome."""

    def __init__(
        self, owner: "owners.Owner", done: OutcomeCallback, moment: Callable
    ) -> None:
        self._owner = owner
        self._done = done
        self._note_answer = moment
        self._over = False
        self._timeout: typing.Any = None

    def wait(self, timeout_s: float, silence: Outcome) -> None:
        """Lets the call end without an answer after a time."""
        self._timeout = self._owner.run_later(
            timeout_s, lambda: self._finish(silence)
        )

    def answer(self, outcome: Outcome) -> None:
        """Takes an answer that arrived; it is read on the calls' thread."""

        def read() -> None:
            if not self._over:
                self._note_answer()
            self._finish(outcome)

        self._owner.read_answer(read)

    def _finish(self, outcome: Outcome) -> None:
        if self._over:
            return
        self._over = True
        self._timeout.cancel()
        self._done(outcome)


class Network:
    """Carries messages from owners to workers.

    Args:
        world: The virtual fleet.

    Attributes:
        in_flight: What workers have not carried out.
    """

    def __init__(self, world: "fleets.World") -> None:
        self._world = world
        self._sent: collections.Counter = collections.Counter()
        self.in_flight = in_flight.Register()

    def reaches(
        self, client: "Client", worker: fleet_workers.FakeWorker
    ) -> bool:
        """Tells whether an owner's client and a worker reach each other."""
        is_cut = any(
            name == client.info.name
            and (nodes is None or client.owner.node in nodes)
            for name, nodes in self._world.cuts
        )
        return (
            worker.reachable
            and not is_cut
            and worker.description.address == client.info.address
        )

    def send(
        self,
        client: "Client",
        order: orders.Order | orders.Poll,
        timeout_s: float,
        silence: Outcome,
        done: OutcomeCallback,
    ) -> None:
        """Sends a message and has its outcome handed over.

        Args:
            client: The sender's client.
            order: The order or the poll.
            timeout_s: Time for the answer.
            silence: The outcome without an answer.
            done: Takes the outcome.
        """
        world, owner, name = self._world, client.owner, client.info.name
        kind = messages.find_kind(order)
        message = messages.Message(
            kind, name, order, owner.epoch, self._sent[kind, name]
        )
        self._sent[kind, name] += 1
        fate = world.choose_fate(message)
        sent = messages.SENT.get(kind)
        subject = name_subject(order)
        if sent:
            world.note_moment(sent, name, subject)

        def note_answer() -> None:
            if sent:
                world.note_moment(messages.ANSWERED[sent], name, subject)

        call = _Call(owner, done, note_answer)
        call.wait(timeout_s, silence)
        world.calm.note_fate(fate)
        entry = self._register(name, order, fate)
        if fate.carried_out_after_s is not None:
            delivery = _Delivery(world, client, order, fate, entry, call)
            world.call_later(
                NETWORK_S + fate.carried_out_after_s, delivery.carry_out
            )
        world.invariants.note_sent(entry)

    def _register(
        self,
        name: str,
        order: orders.Order | orders.Poll,
        fate: messages.Fate,
    ) -> in_flight.Entry:
        world, worker = self._world, self._world.workers.get(name)
        until_ms = getattr(order, "until_ms", 0)
        if worker is None or not until_ms:
            lease_ms = 0
        else:
            lease_ms = until_ms - worker.clock_ms()
        entry = in_flight.Entry(
            name,
            order,
            world.now,
            max(0, min(lease_ms, world.lease_most_ms)),
            worker.incarnation_ms if worker else 0,
            fate.next_lives or world.late_orders.lateness.incarnations,
        )
        self.in_flight.add(entry)
        return entry


@dataclasses.dataclass(frozen=True, slots=True)
class _Delivery:
    """A message on its way.

    Attributes:
        world: The virtual fleet.
        client: The sender's client.
        order: The order or the poll.
        fate: What becomes of it.
        entry: Its entry in the register of what is in flight.
        call: The call that waits for the answer.
    """

    world: "fleets.World"
    client: "Client"
    order: orders.Order | orders.Poll
    fate: messages.Fate
    entry: in_flight.Entry
    call: _Call

    def carry_out(self) -> None:
        """Lets the worker carry the message out, if it reaches it."""
        world = self.world
        worker = world.workers.get(self.client.info.name)
        if worker is None:
            return
        if worker.paused_until > world.now:
            world.call_later(worker.paused_until - world.now, self.carry_out)
            return
        if worker.replaced and not worker.up:
            self._end()
            self.call.answer(self._refuse_other_life())
            return
        if worker.refuses and not worker.up:
            self._end()
            self._respond(worker, self._refuse_connection())
            return
        is_late = self.fate.carried_out_after_s > 0
        if not is_late and not world.network.reaches(self.client, worker):
            return
        if not worker.up or (is_late and not self._outlives(worker)):
            return
        self._end()
        world.invariants.note_changed(worker.description.name)
        order = self._shift_lease()
        if isinstance(order, orders.Poll):
            world.invariants.note_poll(worker, order)
            self._poll(worker, order)
        else:
            self._respond(worker, world.carry_out_order(worker, order))
        self._note_moment()

    def _end(self) -> None:
        self.world.network.in_flight.remove(self.entry)

    def _outlives(self, worker: fleet_workers.FakeWorker) -> bool:
        """Tells whether the message still counts if it comes late.

        What comes before any owner spoke to a life none can refuse.
        """
        return worker.incarnation_ms == self.entry.incarnation_ms or bool(
            self.fate.next_lives and worker.fencing_epoch
        )

    def _note_moment(self) -> None:
        sent = messages.SENT.get(messages.find_kind(self.order))
        if sent:
            self.world.note_moment(
                messages.CARRIED_OUT[sent],
                self.client.info.name,
                name_subject(self.order),
            )

    def _shift_lease(self) -> orders.Order | orders.Poll:
        """Returns the order with leases that count from its arrival."""
        until_ms = getattr(self.order, "until_ms", 0)
        if not self.fate.from_arrival or not until_ms:
            return self.order
        late_ms = int(self.fate.carried_out_after_s * 1000)
        return dataclasses.replace(self.order, until_ms=until_ms + late_ms)

    def _refuse_other_life(self) -> Outcome:
        refusal = orders.Refusal.OTHER_INCARNATION
        if isinstance(self.order, orders.Poll):
            return self._fail(refusal.value)
        return orders.Answer(refusal)

    def _refuse_connection(self) -> Outcome:
        if isinstance(self.order, orders.Poll):
            return self._fail("unreachable")
        return orders.Answer(orders.Refusal.UNREACHABLE)

    def _fail(self, why: str, may_have_acted: bool = False) -> outcomes.Failed:
        name = self.client.info.name
        return outcomes.Failed(
            outcomes.Step.HOLD, name, why, "", may_have_acted
        )

    def _poll(
        self, worker: fleet_workers.FakeWorker, poll: orders.Poll
    ) -> None:
        worker.advance()
        report = worker.poll(poll)
        if report is None:
            self._respond(worker, self._fail("fenced"))
        elif report.ended or not poll.wait_ms:
            self._respond(worker, outcomes.Ok(report))
        else:
            self._wait(worker, poll.wait_ms / 1000)

    def _wait(self, worker: fleet_workers.FakeWorker, wait_s: float) -> None:
        """Answers a poll when a run ends or its wait is over."""

        def answer(is_broken: bool = False) -> None:
            if worker.waiting_polls.pop(number, None) is None:
                return
            timer.cancel()
            if is_broken:
                self._respond(worker, self._fail("broken", True))
            else:
                worker.advance()
                self._respond(worker, outcomes.Ok(worker.report()))

        number = worker.number_poll()
        worker.waiting_polls[number] = answer
        timer = self.world.call_later(wait_s, answer)

    def _respond(
        self, worker: fleet_workers.FakeWorker, outcome: Outcome
    ) -> None:
        is_silent = getattr(outcome, "refusal", None) is (
            orders.Refusal.NO_ANSWER
        )
        if is_silent or not self.fate.answered:
            self.world.calm.note_disturbed()
            return
        if not self.world.network.reaches(self.client, worker):
            return
        if isinstance(outcome, outcomes.Ok):
            for end in outcome.value.ended:
                self.world.note_moment(
                    messages.MomentKind.END_LISTED,
                    self.client.info.name,
                    f"{end.task}#{end.attempt}",
                )

        def arrive() -> None:
            if self.world.network.reaches(self.client, worker):
                self.call.answer(outcome)

        self.world.call_later(NETWORK_S, arrive)


class Client:
    """Sends an owner's orders and polls to one worker.

    Args:
        network: What carries them.
        owner: The owner.
        info: The worker's entry.
    """

    def __init__(
        self, network: Network, owner: "owners.Owner", info: work.WorkerInfo
    ) -> None:
        self._network = network
        self.owner = owner
        self.info = info

    def send(
        self, order: orders.Order, done: Callable[[orders.Answer], None]
    ) -> None:
        """Sends an order."""
        silence = orders.Answer(orders.Refusal.NO_ANSWER)
        self._network.send(self, order, minions.ORDER_TIMEOUT_S, silence, done)

    def poll(
        self, order: orders.Poll, timeout_s: float, done: OutcomeCallback
    ) -> None:
        """Sends a poll; `timeout_s` is beyond the wait that it asks for."""
        silence = outcomes.Failed(
            outcomes.Step.HOLD, self.info.name, "timeout", "", True
        )
        timeout_s += order.wait_ms / 1000
        self._network.send(self, order, timeout_s, silence, done)


def name_subject(order: orders.Order | orders.Poll) -> str:
    """Returns what a message is about, for a moment."""
    if isinstance(order, orders.Poll):
        return messages.find_kind(order).value
    return f"{order.task}#{order.attempt}"
