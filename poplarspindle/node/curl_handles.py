"""Handles of libcurl, each for one POST at a time."""

import io
from collections.abc import Callable

import pycurl

CONNECT_MS = 400  # Every peer is a few milliseconds away.
# The transfer's own timeout; a call is over sooner, by a timer that runs after
# all answers that have arrived were read.
TRANSFER_TIMEOUT_FACTOR = 4
MAX_BODY_BYTES = 8 * 1024 * 1024
_NO_EXPECT = "Expect:"  # A body is sent without being asked for.


def make_handle(announce: Callable[[int, int], int]) -> pycurl.Curl:
    """Makes a handle.

    Args:
        announce: Takes the descriptor and the purpose of each new connection's
            socket before it connects; returns `pycurl.SOCKOPT_OK`.
    """
    handle = pycurl.Curl()
    handle.setopt(pycurl.POST, 1)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_MS)
    handle.setopt(pycurl.MAXFILESIZE, MAX_BODY_BYTES)
    handle.setopt(pycurl.SOCKOPTFUNCTION, announce)
    return handle


def prepare(
    handle: pycurl.Curl,
    url: str,
    headers: tuple[str, ...],
    body: bytes,
    timeout_s: float,
    take_chunk: Callable[[bytes], None],
) -> None:
    """Prepares a handle for a call.

    Args:
        handle: The handle.
        url: Address and target.
        headers: Headers as `Name: value`.
        body: Body, at least one byte.
        timeout_s: Time for the answer.
        take_chunk: Takes each part of the answer's body.
    """
    handle.setopt(pycurl.URL, url)
    handle.setopt(pycurl.HTTPHEADER, (*headers, _NO_EXPECT))
    # libcurl sends a body that it can't read again only once. Otherwise it
    # repeats a call whose kept connection breaks, without telling.
    handle.setopt(pycurl.READFUNCTION, io.BytesIO(body).read)
    handle.setopt(pycurl.POSTFIELDSIZE, len(body))
    transfer_timeout_s = TRANSFER_TIMEOUT_FACTOR * timeout_s
    handle.setopt(pycurl.TIMEOUT_MS, max(1, int(transfer_timeout_s * 1000)))
    handle.setopt(pycurl.WRITEFUNCTION, take_chunk)
