"""HTTP calls to the platform by urllib3, without retries of its own."""

import dataclasses
import json
from collections.abc import Mapping

import urllib3

from poplarspindle import outcomes
from poplarspindle.platform import decoding

CONNECT_S = 0.4  # Every peer is a few milliseconds away.
JSON_HEADERS = {"Content-Type": "application/json"}
POOL_SIZE = 8
FIRST_FINAL_STATUS = 200  # Of interim answers, urllib3 passes over 100 only.


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One HTTP answer."""

    status: int
    body: bytes

    def read_fields(self) -> dict:
        """Returns the body's fields, none where it is no JSON object."""
        return read_fields(self.body)


def read_fields(body: bytes) -> dict:
    """Reads a JSON object's fields; none where the body is no such."""
    try:
        return decoding.parse_object(body)
    except decoding.MalformedError:
        return {}


class Transport:
    """Connections to one address.

    Args:
        address: `host:port`.
        size: Connections kept open while idle.
    """

    def __init__(self, address: str, size: int = POOL_SIZE) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=size, block=False, retries=False
        )

    def call(
        self,
        step: outcomes.Step,
        method: str,
        target: str,
        body: bytes | None,
        timeout_s: float,
        headers: Mapping[str, str] = JSON_HEADERS,
    ) -> outcomes.Ok[Answer] | outcomes.Failed:
        """Makes one call.

        Args:
            step: Step named in a failure.
            method: HTTP method.
            target: Path and query.
            body: Body, or None.
            timeout_s: Time for the answer.
            headers: Headers of the call.

        Returns:
            The answer, whatever its status, or the failure; `may_have_acted`
            is false only where no connection was made.
        """
        timeout = urllib3.Timeout(
            connect=min(CONNECT_S, timeout_s), read=timeout_s
        )
        try:
            response = self._pool.urlopen(
                method,
                target,
                body=body,
                headers=headers,
                timeout=timeout,
                retries=False,
                redirect=False,
                assert_same_host=False,
                preload_content=False,
            )
            if response.status < FIRST_FINAL_STATUS:
                # The final answer would be read as that of the next call.
                response.close()
                response.release_conn()
                return outcomes.Failed(
                    step, self.address, "broken", "interim answer", True
                )
            return outcomes.Ok(Answer(response.status, response.data))
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return outcomes.Failed(
                step, self.address, "unreachable", str(error)
            )
        except urllib3.exceptions.TimeoutError as error:
            return outcomes.Failed(
                step, self.address, "timeout", str(error), True
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return outcomes.Failed(
                step, self.address, "broken", str(error), True
            )

    def post(
        self,
        step: outcomes.Step,
        target: str,
        fields: Mapping[str, object],
        timeout_s: float,
        headers: Mapping[str, str] = JSON_HEADERS,
    ) -> outcomes.Ok[Answer] | outcomes.Failed:
        """Posts fields as JSON."""
        body = json.dumps(fields, separators=(",", ":")).encode()
        return self.call(step, "POST", target, body, timeout_s, headers)

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()
