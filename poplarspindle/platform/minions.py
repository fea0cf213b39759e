"""Client of the minions: one send, never repeated by the library."""

import dataclasses

import urllib3

from poplarspindle import outcomes

REFUSED_HEADER = "Refused"
CONNECT_MOST_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A minion's whole answer."""

    status: int
    body: bytes
    content_type: str


class Minions:
    """Connections to all minions.

    Args:
        connections: Greatest number of idle connections kept per minion.
    """

    def __init__(self, connections: int) -> None:
        self._pool = urllib3.PoolManager(
            num_pools=1024, maxsize=connections, retries=False
        )

    def send(
        self,
        address: str,
        service: str,
        request: str,
        body: bytes,
        left_s: float,
    ) -> outcomes.Ok[Answer] | outcomes.Failed:
        """Sends a request once and reads the whole answer.

        Args:
            address: The minion's `host:port`.
            service: Service asked for.
            request: Request id.
            body: The request's body.
            left_s: Time left until the caller's deadline.

        Returns:
            The answer, or the failure. `may_have_acted` is false only where
            nothing was sent or the minion refused before running.
        """
        timeout = urllib3.Timeout(
            connect=min(CONNECT_MOST_S, left_s), read=left_s
        )
        headers = {
            "Request-Id": request,
            "Deadline-Ms": str(max(1, int(left_s * 1000))),
            "Content-Type": "application/octet-stream",
        }
        try:
            answer = self._pool.request(
                "POST",
                f"http://{address}/{service}",
                body=body,
                headers=headers,
                timeout=timeout,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return outcomes.Failed(
                outcomes.Step.CONNECT, address, "no-connection", str(error)
            )
        except urllib3.exceptions.TimeoutError as error:
            return outcomes.Failed(
                outcomes.Step.RECEIVE, address, "timeout", str(error), True
            )
        except urllib3.exceptions.HTTPError as error:
            return outcomes.Failed(
                outcomes.Step.RECEIVE, address, "broken", str(error), True
            )
        return _judge_answer(address, request, answer)


def _judge_answer(address, request, answer):
    if answer.status == 503 and REFUSED_HEADER in answer.headers:
        return outcomes.Failed(outcomes.Step.SEND, address, "minion-refused")
    if answer.headers.get("Request-Id", request) != request:
        return outcomes.Failed(
            outcomes.Step.RECEIVE, address, "crossed-answer", "", True
        )
    if "Content-Length" not in answer.headers:
        return outcomes.Failed(
            outcomes.Step.RECEIVE, address, "no-length", "", True
        )
    return outcomes.Ok(
        Answer(
            answer.status,
            answer.data,
            answer.headers.get("Content-Type", "application/octet-stream"),
        )
    )
