"""HTTP calls to the platform: msgpack bodies, no retries of its own."""

import cattrs
import msgpack
import urllib3

from poplarspindle import outcomes

CONTENT_TYPE = "application/msgpack"
CONNECTIONS_PER_PEER = 16

converter = cattrs.Converter()


class Transport:
    """A pool of connections to the platform's services.

    Args:
        timeout_s: Time allowed for one call.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(
            num_pools=1024, maxsize=CONNECTIONS_PER_PEER, retries=False
        )

    def call(
        self,
        step: outcomes.Step,
        url: str,
        body: object = None,
        extra_s: float = 0.0,
    ) -> outcomes.Ok[object] | outcomes.Failed:
        """Posts a msgpack body and reads a msgpack answer.

        Args:
            step: Step named in a failure.
            url: Where to post.
            body: What msgpack can pack.
            extra_s: Time allowed on top of the timeout.

        Returns:
            The answer unpacked, or the failure. `may_have_acted` is false
            only where the connection was refused or the peer said no.
        """
        timeout = urllib3.Timeout(total=self._timeout_s + extra_s)
        try:
            answer = self._pool.request(
                "POST",
                url,
                body=msgpack.packb(body),
                headers={"Content-Type": CONTENT_TYPE},
                timeout=timeout,
            )
        except urllib3.exceptions.NewConnectionError as error:
            return outcomes.Failed(step, url, "refused", str(error))
        except urllib3.exceptions.HTTPError as error:
            reason = (
                "timeout"
                if isinstance(error, urllib3.exceptions.TimeoutError)
                else "broken"
            )
            return outcomes.Failed(step, url, reason, str(error), True)
        if answer.status == 200:
            return self._unpack(step, url, answer.data)
        reason = f"status-{answer.status}"
        return outcomes.Failed(step, url, reason, "", answer.status >= 500)

    def _unpack(self, step, url, data):
        try:
            return outcomes.Ok(msgpack.unpackb(data))
        except (ValueError, msgpack.UnpackException) as error:
            return outcomes.Failed(step, url, "malformed", str(error), True)

    def close(self) -> None:
        """Closes all idle connections."""
        self._pool.clear()
