"""This node's standing in the group of nodes: who should own the fleet."""

import threading
from collections.abc import Callable

import structlog

from poplarspindle import outcomes
from poplarspindle.fleet import fencing, fitness, records
from poplarspindle.node import clocks, storage, threads

JOIN_INTERVAL_S = 0.3
CLAIM_TIMEOUT_S = 1.0  # Time for a claim to come back through the log.
FITNESS_INTERVAL_S = 2.0
WITHDRAW_S = 8.0  # Machines turn slow for several seconds.
RESIGN_TIMEOUT_S = (
    0.5  # Without it the next owner waits until this one is silent.
)

# An owner appends its load twice a second; a dead one is out of the group
# after about a second.
OWNER_TIMEOUT_S = 1.2
# A claimant first reads what it needs; a slow store takes hundreds of
# milliseconds for each page.
CLAIMANT_TIMEOUT_S = 3.0

_log = structlog.get_logger(part="ownership")


def choose_epoch(last: int, member: str) -> int:
    """Returns the epoch of a claim; the tokens of each epoch follow it.

    Claims at the same moment mostly get different epochs. Where they do not,
    only the one whose name is read back owns the fleet.

    Args:
        last: Epoch of the last owner, 0 for none.
        member: Name of the claimant.
    """
    number = hash(member) % fencing.CLAIMS_PER_STEP
    step = last // fencing.EPOCH_STEP + 1
    return step * fencing.EPOCH_STEP + number * fencing.TOKENS_PER_EPOCH


def is_vacant(
    owner: records.Owner | None,
    member: str,
    resigned: int,
    owner_seen_at: float,
    now: float,
    owner_active: bool = True,
) -> bool:
    """Tells whether the chosen member may claim the fleet.

    Load pattern: nodes start, stop or join one after the other, or the group
    deals everything anew, and another member is chosen each time although
    the owner is well; each change of hands costs all nodes a takeover. Or a
    claimant takes long to begin since the store is slow, and others that claim
    meanwhile would only have it begin anew.

    Args:
        owner: The newest owner that was read, None for none.
        member: The chosen member, which does not own the fleet now.
        resigned: Newest epoch that was given up, 0 for none.
        owner_seen_at: When the owner was last heard of, steady seconds.
        now: Present time, steady seconds.
        owner_active: Whether it was heard as owner since it claimed.
    """
    if owner is None or resigned >= owner.epoch or owner.instance == member:
        return True
    silent_s = OWNER_TIMEOUT_S if owner_active else CLAIMANT_TIMEOUT_S
    return now - owner_seen_at >= silent_s


class Election:
    """Keeps this node in the group and claims the fleet when chosen.

    Args:
        store: The store.
        member: This process's incarnation.
        ttl_ms: Time after which a silent member is out.
        wall_ms: Returns Unix time in milliseconds.
        node_fitness: How well this node's machine can carry the fleet.

    Attributes:
        fitness: The same.
        best: The best fitness that any node noted in the log.
        owner: The newest owner's record that was read, None for none.
        ownership: Whether this process is that owner.
        preparing: Epoch of its claim for which it reads the logs, 0 for none.
        store_heard_at: When the store last told this member that it is the
            chosen one; no proof that no other owns the fleet.
        resigned: Newest epoch that its owner gave up, 0 for none.
        owner_seen_at: When the owner was last heard of, steady seconds.
        owner_active: Whether it was heard as owner since it claimed.
        epoch_before_claim: Epoch of the owner before the last claim, 0 for
            none.
    """

    def __init__(
        self,
        store: storage.Store,
        member: str,
        ttl_ms: int,
        wall_ms: Callable[[], int],
        node_fitness: float = 1.0,
    ) -> None:
        self.fitness = node_fitness
        self.best_fitness = 0.0
        self._began_at = clocks.get_steady_s()
        self._withdrawn_until = float("-inf")
        self._fitness_published_at = float("-inf")
        self._store = store
        self._member = member
        self._ttl_ms = ttl_ms
        self._wall_ms = wall_ms
        self._generation = 0
        self._leaving = threading.Event()
        self._woken = threading.Event()
        self._claimed_at = float("-inf")
        self._chosen = self._failed = False
        self._eligible_since = self._began_at
        self.owner: records.Owner | None = None
        self.is_owner = False
        self.preparing_epoch = 0
        self.store_heard_at = float("-inf")
        self._eligible = False
        self.resigned_epoch = 0
        self.owner_seen_at = float("-inf")
        self.owner_active = False
        self._log_end = storage.ANY_END
        self._refused_end: int | None = None  # Of a claim behind the log.
        self.epoch_before_claim = 0

    def start(self) -> None:
        """Starts the joining thread."""
        threads.start(self._run)

    @property
    def eligible(self) -> bool:
        """Whether this node is fit to own the fleet now."""
        return self._eligible

    @eligible.setter
    def eligible(self, eligible: bool) -> None:
        became = eligible and not self._eligible
        self._eligible = eligible
        if became:
            self._woken.set()

    @property
    def log_end(self) -> int:
        """Offset up to which the log was taken in."""
        return self._log_end

    @log_end.setter
    def log_end(self, end: int) -> None:
        """Notes what was taken in; a claim that lacked it is repeated now.

        Load pattern: dozens of nodes note their fitness while nobody owns the
        fleet, and each note has claims refused that were sent just before.
        """
        self._log_end = end
        if self._refused_end is not None and end > self._refused_end:
            self._refused_end = None
            self._woken.set()

    def record_resignation(self, epoch: int) -> None:
        """Notes that an owner gave the fleet up: it may be claimed."""
        self.resigned_epoch = max(self.resigned_epoch, epoch)
        self._woken.set()

    def resign(self, epoch: int) -> None:
        """Tells the others that this owner gave the fleet up."""
        answer = self._store.append(
            [records.encode_resignation(epoch)], RESIGN_TIMEOUT_S
        )
        _log.info("resigned", epoch=epoch, ok=isinstance(answer, outcomes.Ok))

    def leave(self) -> None:
        """Leaves the group, for another member to be chosen at once."""
        self._leaving.set()
        self._woken.set()

    def withdraw(self) -> None:
        """Lets another member be chosen for some time."""
        self._withdrawn_until = clocks.get_steady_s() + WITHDRAW_S
        self._woken.set()

    def _may_own(self, now: float) -> bool:
        silent_s = now - max(self.owner_seen_at, self._began_at)
        if now < self._withdrawn_until:
            return False
        return self.is_owner or fitness.may_own(
            self.fitness, self.best_fitness, silent_s
        )

    def _run(self) -> None:
        joined = True
        while not self._leaving.is_set():
            now = clocks.get_steady_s()
            if self._may_own(now):
                joined = True
                self._join()
            elif joined:
                joined = self._chosen = False
                answer = self._store.leave(self._member)
                _log.info(
                    "stands-back",
                    fitness=self.fitness,
                    best=self.best_fitness,
                    ok=isinstance(answer, outcomes.Ok),
                )
            if not self.eligible:
                self._eligible_since = now
            elif now - self._eligible_since >= JOIN_INTERVAL_S:
                # By then all that others told at the same time was read.
                self._publish_fitness(now)
            self._woken.wait(JOIN_INTERVAL_S)
            self._woken.clear()
        answer = self._store.leave(self._member)
        _log.info("left", ok=isinstance(answer, outcomes.Ok))

    def _join(self) -> None:
        answer = self._store.join(self._member, self._ttl_ms, self._generation)
        now = clocks.get_steady_s()
        if isinstance(answer, outcomes.Failed):
            if not self._failed:
                _log.warning("join-failed", why=answer.reason)
            self._failed = True
            return
        self._generation = answer.value.generation
        if answer.value.chosen != self._chosen or self._failed:
            _log.info(
                "standing",
                chosen=answer.value.chosen,
                generation=self._generation,
                owning=self.is_owner,
            )
        self._failed = False
        self._chosen = answer.value.chosen
        if self._chosen:
            self.store_heard_at = now
            if not self.is_owner and self.eligible and self._may_own(now):
                self._claim_vacant(now)

    def _publish_fitness(self, now: float) -> None:
        """Notes the best fitness; asks a lesser owner for the fleet."""
        marks = []
        if self.fitness > self.best_fitness:
            marks.append(fitness.encode_best_fitness(self.fitness))
        owner = self.owner
        if (
            owner is not None
            and owner.instance != self._member
            and now >= self._withdrawn_until
            and now - self.owner_seen_at < OWNER_TIMEOUT_S
            and fitness.is_better(self.fitness, owner.fitness)
        ):
            candidate = fitness.Candidate(self._member, self.fitness)
            marks.append(fitness.encode_candidate(candidate))
        if marks and now - self._fitness_published_at >= FITNESS_INTERVAL_S:
            self._fitness_published_at = now
            answer = self._store.append(marks, RESIGN_TIMEOUT_S)
            _log.info(
                "told-fitness",
                fitness=self.fitness,
                best=self.best_fitness,
                records=[record.key for record in marks],
                ok=isinstance(answer, outcomes.Ok),
            )

    def _claim_vacant(self, now: float) -> None:
        # A second claim would end the first one before it is an ownership.
        if not self.preparing_epoch and is_vacant(
            self.owner,
            self._member,
            self.resigned_epoch,
            self.owner_seen_at,
            now,
            self.owner_active,
        ):
            self._claim(now)

    def _claim(self, now: float) -> None:
        if now - self._claimed_at < CLAIM_TIMEOUT_S:
            return
        self._claimed_at = now
        last = self.owner.epoch if self.owner else 0
        self.epoch_before_claim = last
        epoch = choose_epoch(last, self._member)
        claim = records.Owner(
            epoch, self._member, self._wall_ms(), self.fitness
        )
        # A claim that is carried out late would end a later owner.
        end = self.log_end
        answer = self._store.append(
            [records.encode_owner(claim)], 1.0, epoch, 0, expected_end=end
        )
        is_failed = isinstance(answer, outcomes.Failed)
        if is_failed and answer.reason == storage.OTHER_END:
            self._claimed_at = float("-inf")  # Once more was taken in.
            self._refused_end = end
            if self.log_end > end:
                self._woken.set()
        _log.info(
            "claimed",
            epoch=epoch,
            before=last,
            outcome="ok" if isinstance(answer, outcomes.Ok) else answer.reason,
        )
