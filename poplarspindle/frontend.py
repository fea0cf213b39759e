"""Carries a request from its id to its result.

An idempotent request goes straight to a minion. For any other, the id decides:
one minted here runs here, one minted elsewhere is forwarded to its minter, and
a chosen one runs where its first claim was made.
"""

import threading
import time
from collections.abc import Callable

from poplarspindle import (
    bulkheads,
    claims,
    membership,
    messages,
    outcomes,
    peers,
    requests,
    retired_ids,
    tickets,
    traces,
)
from poplarspindle.clients import minions

UNREACHED = frozenset({"incarnation-gone", "no-connection", "peer-stopping"})

Send = Callable[..., minions.Answer | requests.Verdict]
Ended = Callable[[traces.Trace], None]


class Frontend:
    """Serves requests for the threads of one entry.

    Args:
        state: Ids of this entry.
        members: The instance list.
        links: Connections to other entries.
        claimed: Claims on chosen ids.
        gone: What entries that left said last.
        ring: Traces of this entry.
        send: Sends a request to minions, as dispatch.Dispatcher does.
        ended: Called with each trace that ended.
        window_s: Greatest age of a chosen id.
        skew_s: Greatest difference between two wall clocks.
        waiting: Room for threads that wait for a peer, the log or the end
            of an id's first send.
    """

    def __init__(
        self,
        state: tickets.State,
        members: membership.State,
        links: peers.Links,
        claimed: claims.Claims,
        gone: retired_ids.RetiredIds,
        ring: traces.Ring,
        send: Send,
        ended: Ended,
        window_s: float,
        skew_s: float,
        waiting: bulkheads.Bulkhead,
    ) -> None:
        self._waiting = waiting
        self._state = state
        self._members = members
        self._links = links
        self._claims = claimed
        self._retired = gone
        self._ring = ring
        self._send = send
        self._ended = ended
        self._window_s = window_s
        self._skew_s = skew_s
        self._changed = threading.Condition()

    def mint(
        self, count: int
    ) -> outcomes.Ok[tuple[str, ...]] | outcomes.Failed:
        """Hands out a block of ids."""
        with self._changed:
            return tickets.mint_ids(self._state, count, time.monotonic())

    def list_unused(self) -> tuple[tuple[int, int], ...]:
        """Returns the ids handed out that never ran."""
        with self._changed:
            return tickets.list_unused(self._state, time.monotonic())

    def serve(self, request: requests.Request) -> tuple[str, messages.Result]:
        """Carries a request to its end.

        Args:
            request: The checked request.

        Returns:
            The request's id, and its result.
        """
        deadline = time.monotonic() + request.deadline_ms / 1000
        name = request.name
        if not name:
            match self.mint(1):
                case outcomes.Ok((name,)):
                    pass
                case outcomes.Failed() as failed:
                    return "", conclude(failed, True)
        self._ring.begin(name, request.service, not request.idempotent)
        result = self._route(name, request, deadline)
        self._end(name, result)
        return name, result

    def take_forward(
        self, question: messages.Forward, deadline: float
    ) -> messages.Result:
        """Runs a request that another entry forwarded here."""
        self._ring.begin(question.request, question.service)
        self._note(question.request, outcomes.Step.FORWARD, "", "taken")
        request = requests.Request(
            question.service,
            question.request,
            question.body,
            False,
            question.first_send,
            0,
        )
        match tickets.parse_id(question.request):
            case tickets.MintedId(incarnation, number) if (
                incarnation == self._state.incarnation
            ):
                result = self._serve_minted(
                    question.request, number, request, deadline
                )
            case _:
                result = refuse("other-incarnation", outcomes.Step.FORWARD)
        self._end(question.request, result)
        return result

    def take_result_query(
        self, question: messages.ResultQuery, deadline: float
    ) -> messages.Result:
        """Answers what became of an id that this entry claimed first."""
        with self._changed:
            known = tickets.find_known(
                self._state, question.request, question.digest
            )
        if known is None:
            return refuse("repeated-id", outcomes.Step.CLAIM)
        return self._follow(known, deadline)

    def _end(self, name: str, result: messages.Result) -> None:
        trace = self._ring.end(name, result)
        if trace is not None:
            self._ended(trace)

    def _note(self, name, step, peer, reason) -> None:
        self._ring.note(name, step, peer, reason)

    def _route(
        self, name: str, request: requests.Request, deadline: float
    ) -> messages.Result:
        if request.idempotent:
            return self._dispatch(name, request, deadline)
        match tickets.parse_id(name):
            case tickets.MintedId(incarnation, number):
                if incarnation == self._state.incarnation:
                    return self._serve_minted(name, number, request, deadline)
                return self._forward(name, incarnation, request, deadline)
            case tickets.CallerChosenId() as chosen:
                return self._serve_chosen(name, chosen, request, deadline)
        return refuse(
            "bad-request-id", outcomes.Step.PARSE, requests.Outcome.NOT_RUN
        )

    def _serve_minted(
        self,
        name: str,
        number: int,
        request: requests.Request,
        deadline: float,
    ) -> messages.Result:
        digest = tickets.compute_digest(request.service, request.body)
        with self._changed:
            leave = tickets.use_minted(
                self._state, number, digest, time.monotonic()
            )
        if not isinstance(leave, tickets.DispatchAllowed):
            return self._follow(leave, deadline)
        return self._run_once(
            name, lambda: self._dispatch(name, request, deadline)
        )

    def _serve_chosen(
        self,
        name: str,
        chosen: tickets.CallerChosenId,
        request: requests.Request,
        deadline: float,
    ) -> messages.Result:
        verdict = tickets.check_window(
            chosen, time.time(), self._window_s, self._skew_s
        )
        if verdict is not None:
            return make_result(verdict)
        digest = tickets.compute_digest(request.service, request.body)
        with self._changed:
            leave = tickets.use_chosen(
                self._state, name, digest, time.monotonic()
            )
        if not isinstance(leave, tickets.DispatchAllowed):
            return self._follow(leave, deadline)
        return self._run_once(
            name,
            lambda: self._claim(name, chosen, digest, request, deadline),
        )

    def _claim(self, name, chosen, digest, request, deadline):
        """Claims a chosen id, then runs it or asks the one who runs it."""
        with self._waiting.enter() as taken:
            answer = (
                self._claims.settle(name, chosen, deadline)
                if taken
                else fail_full(outcomes.Step.CLAIM)
            )
        if isinstance(answer, outcomes.Failed):
            return conclude(answer, request.first_send)
        claimed = answer.value
        self._note(
            name, outcomes.Step.CLAIM, claimed.incarnation, "first-claim"
        )
        if claimed.mine:
            return self._dispatch(name, request, deadline)
        if claimed.incarnation == self._state.incarnation:
            return refuse("repeated-id", outcomes.Step.CLAIM)
        question = messages.ResultQuery(name, digest)
        return self._ask(claimed.incarnation, question, False, deadline)

    def _forward(
        self,
        name: str,
        incarnation: str,
        request: requests.Request,
        deadline: float,
    ) -> messages.Result:
        question = messages.Forward(
            name, request.service, request.body, request.first_send
        )
        result = self._ask(incarnation, question, request.first_send, deadline)
        _, _, number = name.rpartition(".")
        if result.reason in UNREACHED and self._retired.is_unused(
            incarnation, int(number)
        ):
            return refuse(
                "minter-left",
                outcomes.Step.FORWARD,
                requests.Outcome.NOT_RUN,
            )
        return result

    def _ask(
        self,
        incarnation: str,
        question: messages.Message,
        first_send: bool,
        deadline: float,
    ) -> messages.Result:
        address = membership.find_peer(self._members, incarnation)
        if not address:
            return refuse("incarnation-gone", outcomes.Step.FORWARD)
        self._note(question.request, outcomes.Step.FORWARD, address, "asked")
        with self._waiting.enter() as taken:
            if not taken:
                return conclude(fail_full(outcomes.Step.FORWARD), first_send)
            left_s = deadline - time.monotonic()
            answer = self._links.ask(address, question, left_s)
        if isinstance(answer, outcomes.Failed):
            return conclude(answer, first_send)
        if not isinstance(answer.value, messages.Result):
            return refuse("peer-malformed", outcomes.Step.FORWARD)
        return answer.value

    def _run_once(
        self, name: str, run: Callable[[], messages.Result]
    ) -> messages.Result:
        """Runs the one dispatch of an id and keeps its result."""
        result = refuse("entry-failed", outcomes.Step.SEND)
        try:
            result = run()
        finally:
            with self._changed:
                tickets.finish(self._state, name, result, time.monotonic())
                self._changed.notify_all()
        return result

    def _follow(
        self, known: tickets.RequestEntry | requests.Verdict, deadline: float
    ) -> messages.Result:
        """Returns the result of an id's first send, waiting for its end."""
        if isinstance(known, requests.Verdict):
            return make_result(known)
        with self._waiting.enter() as taken, self._changed:
            left_s = deadline - time.monotonic() if taken else 0.0
            ended = self._changed.wait_for(
                lambda: known.result is not None, max(0.0, left_s)
            )
        if not ended:
            return refuse("still-running", outcomes.Step.CLAIM)
        return known.result

    def _dispatch(
        self, name: str, request: requests.Request, deadline: float
    ) -> messages.Result:
        if time.monotonic() >= deadline:
            return refuse("late", outcomes.Step.ADMIT, requests.Outcome.NOT_RUN)
        answer = self._send(
            request.service,
            name,
            request.body,
            request.idempotent,
            deadline,
            lambda step, peer, reason: self._note(name, step, peer, reason),
        )
        if isinstance(answer, requests.Verdict):
            return make_result(answer)
        return messages.Result(
            requests.Outcome.ANSWERED,
            "",
            outcomes.Step.RECEIVE,
            status=answer.status,
            body=answer.body,
            content_type=answer.content_type,
        )


def conclude(failed: outcomes.Failed, first_send: bool) -> messages.Result:
    """Returns what a caller is told when this entry could not go on.

    Nothing ran on this send. Whether an earlier send of the same id ran is
    known only where the caller says that there was none.
    """
    sure = first_send and (
        not failed.may_have_acted or failed.step is not outcomes.Step.FORWARD
    )
    outcome = requests.Outcome.NOT_RUN if sure else requests.Outcome.UNKNOWN
    return messages.Result(outcome, failed.reason, failed.step, failed.peer)


def fail_full(step: outcomes.Step) -> outcomes.Failed:
    """Returns the failure where too many threads wait already."""
    return outcomes.Failed(step, "", "too-many-waiting")


def make_result(verdict: requests.Verdict) -> messages.Result:
    """Returns a verdict as a result."""
    return messages.Result(
        verdict.outcome, verdict.reason, verdict.step, verdict.peer
    )


def refuse(
    reason: str,
    step: outcomes.Step,
    outcome: requests.Outcome = requests.Outcome.UNKNOWN,
) -> messages.Result:
    """Returns the result of a request that this entry ends itself."""
    return messages.Result(outcome, reason, step)
