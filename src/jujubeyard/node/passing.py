"""Decides which headers of a message are passed on."""

import collections.abc

from jujubeyard.node import protocol

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to a single connection."""

HOP_BY_HOP_REQUEST_HEADERS = HOP_BY_HOP_HEADERS | {"expect"}

Headers = collections.abc.Iterable[tuple[str, str]]


class HeaderFilter:
    """Selects the end-to-end headers of requests and answers.

    The platform's own headers and Host are end-to-end even if a Connection
    header names them.
    """

    def __init__(self, header_names: protocol.HeaderNames):
        """Initializes the filter.

        Args:
            header_names: Names of the protocol's headers.
        """
        self._set_by_router = {
            header_names.deadline.lower(),
            header_names.expected_target.lower(),
        }
        self._never_options = {
            "host",
            *(name.lower() for name in header_names.all()),
        }

    def filter_request(self, headers: Headers) -> list[tuple[str, str]]:
        """Returns a request's headers without those that the router sets."""
        return self._filter(
            headers, HOP_BY_HOP_REQUEST_HEADERS | self._set_by_router
        )

    def filter_answer(self, headers: Headers) -> list[tuple[str, str]]:
        """Returns the headers of an answer that its caller gets."""
        return self._filter(headers, HOP_BY_HOP_HEADERS)

    def _filter(self, headers: Headers, left_out: collections.abc.Set[str]):
        headers = list(headers)
        options = connection_options(headers) - self._never_options
        return [
            (name, text)
            for name, text in headers
            if name.lower() not in left_out and name.lower() not in options
        ]


def connection_options(headers: Headers) -> set[str]:
    """Returns the names that Connection headers list, in lower case."""
    options = set()
    for name, text in headers:
        if name.lower() == "connection":
            options.update(part.strip().lower() for part in text.split(","))
    return options
