"""An operator's client: reads the document, changes it, settles changes."""

import dataclasses
import json
import random
import time

import urllib3

from poplarspindle import (
    document,
    events,
    outcomes,
    records,
    replayer,
    replica,
    reports,
    settings,
    snapshots,
)
from poplarspindle.clients import logservice, members, transport

READ_LIMIT = 500
READ_WAIT_MS = 200
BACKOFF_FIRST_S = 0.05
MAX_BACKOFF_S = 1.0
CHANGES_PATH = "/v1/changes/"


class Operator:
    """The document as an operator sees it, and a way to change it.

    Attributes:
        offset: Next offset of the document's stream.

    Args:
        values: Checked settings.
        team: Team whose key the setting `team_key` holds, if it is set.
        log: The log, None to reach it by the settings.
        instances: The instance list, None to reach it by the settings.
    """

    def __init__(
        self,
        values: settings.Values,
        team: str = "",
        log: logservice.LogService | None = None,
        instances: members.InstanceList | None = None,
    ) -> None:
        calls = transport.Transport(values.platform_timeout_s)
        self._values = values
        self._log = log or logservice.LogService(values.log_url, calls)
        self._list = instances or members.InstanceList(values.list_url, calls)
        self._http = urllib3.PoolManager(
            retries=False, timeout=values.platform_timeout_s
        )
        self._team_keys = read_team_keys(values, team)
        opener = snapshots.make_opener(values.team_secret, self._team_keys)
        self._replayer = replayer.Replayer(records.DOCUMENT_STREAM, opener)
        self._replica = replica.Replica(
            document.State(values.team_secret, self._team_keys)
        )
        self._rng = random.Random()

    @property
    def state(self) -> document.State:
        """The document as read so far."""
        return self._replica.state

    @property
    def offset(self) -> int:
        """Next offset of the document's stream."""
        return self._replayer.position

    def read(self, wait_ms: int = 0) -> bool:
        """Reads one page; tells whether the tail was reached by it."""
        stream = records.DOCUMENT_STREAM
        sent_at = time.monotonic()
        answer = self._log.read({stream: self.offset}, READ_LIMIT, wait_ms)
        if isinstance(answer, outcomes.Failed):
            return False
        (page,) = answer.value
        found = self._replayer.take_page(page, sent_at, time.monotonic())
        for event in found:
            self._replica.take(event)
        return any(isinstance(event, events.TailReached) for event in found)

    def open(self) -> outcomes.Ok[None] | outcomes.Failed:
        """Reads the document to its tail."""
        deadline = time.monotonic() + self._values.settle_s
        while time.monotonic() < deadline:
            if self.read():
                return outcomes.Ok(None)
            if self._replica.lost:
                return outcomes.Failed(
                    outcomes.Step.READ,
                    self._values.log_url,
                    "state-lost",
                    "the document's records are gone from the log:"
                    f" {self._replica.lost}",
                )
            self._pause(BACKOFF_FIRST_S)
        return outcomes.Failed(
            outcomes.Step.READ,
            self._values.log_url,
            "log-down",
            f"the log at {self._values.log_url} does not answer",
        )

    def sign(self, change: document.Change) -> document.Change:
        """Signs a change with its team's key."""
        if self._team_keys is None:
            key = document.derive_key(self._values.team_secret, change.team)
        else:
            key = self._team_keys[change.team]
        return document.sign_change(change, key)

    def settle(
        self, change: document.Change
    ) -> outcomes.Ok[document.Decision] | outcomes.Failed:
        """Appends a change and reads on to its verdict.

        After an append with no answer it reads to the tail. Where the change
        isn't there it appends it again under the same id: should both copies
        land, the second one is ignored.

        Returns:
            The verdict as read back; or that it is not known, where
            `may_have_acted` tells whether the change may still take effect.
        """
        deadline = time.monotonic() + self._values.settle_s
        payload = records.encode_batch((change,))
        may_be_there = False
        backoff = BACKOFF_FIRST_S
        while time.monotonic() < deadline:
            answer = self._log.append(records.DOCUMENT_STREAM, payload)
            confirmed = isinstance(answer, outcomes.Ok)
            may_be_there |= confirmed or answer.may_have_acted
            min_offset = answer.value + 1 if confirmed else 0
            found = self._read_verdict(change.change_id, min_offset, deadline)
            if found is not None:
                return self._confirm(change.change_id, found, deadline)
            self._pause(backoff)
            backoff = min(backoff * 2, MAX_BACKOFF_S)
        return outcomes.Failed(
            outcomes.Step.PUBLISH,
            self._values.log_url,
            "unknown" if may_be_there else "log-down",
            "",
            may_be_there,
        )

    def _read_verdict(
        self, change_id: str, min_offset: int, deadline: float
    ) -> document.Decision | None:
        """Reads to the tail, and to an offset, or to the deadline."""
        while time.monotonic() < deadline:
            at_tail = self.read(READ_WAIT_MS if min_offset > self.offset else 0)
            found = self.state.find_decision(change_id)
            if found is not None or (at_tail and self.offset >= min_offset):
                return found
            if not at_tail:
                self._pause(BACKOFF_FIRST_S)
        return None

    def _pause(self, wait_s: float) -> None:
        time.sleep(wait_s * self._rng.uniform(0.5, 1.0))

    def _confirm(
        self, change_id: str, found: document.Decision, deadline: float
    ) -> outcomes.Ok[document.Decision] | outcomes.Failed:
        """Has a scheduler confirm a verdict, where the secret isn't known.

        Without the secret other teams' signatures can't be checked here, so
        the verdict is only that of an instance that can.
        """
        if self._team_keys is None:
            return outcomes.Ok(found)
        while time.monotonic() < deadline:
            answer = self.ask_scheduler(CHANGES_PATH + change_id)
            if isinstance(answer, outcomes.Ok):
                return outcomes.Ok(document.Decision(**answer.value))
            self._pause(MAX_BACKOFF_S)
        return outcomes.Failed(
            outcomes.Step.PUBLISH, "", "unknown", "no scheduler answers", True
        )

    def find_decision(
        self, change_id: str
    ) -> outcomes.Ok[document.Decision] | outcomes.Failed:
        """Returns the verdict on a change as read so far."""
        found = self.state.find_decision(change_id)
        if found is None:
            return outcomes.Failed(outcomes.Step.READ, "", "not-there")
        deadline = time.monotonic() + self._values.settle_s
        return self._confirm(change_id, found, deadline)

    def ask_scheduler(
        self, path: str, address: str = ""
    ) -> outcomes.Ok[dict] | outcomes.Failed:
        """Asks a scheduler, found through the instance list if none is named.

        Returns:
            The first answer that is JSON, or the last failure.
        """
        if address:
            return self._ask(address, path)
        listed = self._list.fetch()
        if isinstance(listed, outcomes.Failed):
            return listed
        answer = outcomes.Failed(
            outcomes.Step.LIST,
            self._values.list_url,
            "no-scheduler",
            "the instance list shows no scheduler",
        )
        for member in listed.value:
            if member.role is not reports.Role.SCHEDULER or not member.address:
                continue
            answer = self._ask(member.address, path)
            if isinstance(answer, outcomes.Ok):
                return answer
        return answer

    def _ask(
        self, address: str, path: str
    ) -> outcomes.Ok[dict] | outcomes.Failed:
        step = outcomes.Step.READ
        try:
            answer = self._http.request("GET", f"http://{address}{path}")
            if answer.status == 200:
                return outcomes.Ok(json.loads(answer.data))
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return outcomes.Failed(step, address, "unreachable", str(error))
        return outcomes.Failed(
            step, address, f"status-{answer.status}", "it has no answer"
        )


def encode_decision(decision: document.Decision) -> bytes:
    """Encodes a verdict as schedulers serve it, in JSON."""
    return json.dumps(dataclasses.asdict(decision)).encode()


def read_team_keys(
    values: settings.Values, team: str
) -> dict[str, bytes] | None:
    """Returns the team's own key where the settings give it.

    Returns:
        Key by team, None where the secret is to be used.

    Raises:
        ValueError: The key is not hex.
    """
    if not values.team_key:
        return None
    try:
        key = bytes.fromhex(values.team_key)
    except ValueError:
        raise ValueError(
            "team_key: give the key in hex, as `poplarspindle-ctl key` prints"
        ) from None
    return {team: key} if team else {}
