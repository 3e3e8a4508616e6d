"""Tests of what targets announce about themselves in their answers."""

import pytest

from jujubeyard.targets import notices
from tests.node import test_upstream


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        pytest.param(200, {}, notices.NO_NOTICE, id="nothing"),
        pytest.param(
            200, {"X-Leaving": "1"}, notices.Notice(True), id="leaving"
        ),
        pytest.param(
            500, {"X-Leaving": " 1"}, notices.Notice(True), id="in an error"
        ),
        pytest.param(200, {"X-Leaving": "0"}, notices.NO_NOTICE, id="staying"),
        pytest.param(
            421,
            {"X-Leaving": "1", "X-Target": "t2"},
            notices.NO_NOTICE,
            id="another target at its address",
        ),
        pytest.param(
            503,
            {"X-Leaving": "1", "X-Target": "t1"},
            notices.Notice(True),
            id="names itself",
        ),
        pytest.param(
            503, {"Retry-After": "1.5"}, notices.Notice(False, 1.5), id="pause"
        ),
        pytest.param(
            503, {"Retry-After": "90"}, notices.Notice(False, 90.0), id="long"
        ),
        pytest.param(
            429, {"Retry-After": "2"}, notices.NO_NOTICE, id="other status"
        ),
        pytest.param(
            503, {"Retry-After": "-3"}, notices.NO_NOTICE, id="negative"
        ),
        pytest.param(
            503, {"Retry-After": "nan"}, notices.NO_NOTICE, id="no number"
        ),
        pytest.param(
            503, {"Retry-After": "inf"}, notices.NO_NOTICE, id="infinite"
        ),
        pytest.param(
            503,
            {"Retry-After": "Wed, 21 Oct 2026 07:28:00 GMT"},
            notices.NO_NOTICE,
            id="date",
        ),
        pytest.param(
            503,
            {"Retry-After": "1e300"},
            notices.Notice(False, notices.MAX_PAUSE_SECONDS),
            id="absurdly long",
        ),
    ],
)
def test_reads_notice(status, headers, expected):
    notice = notices.read_notice(status, headers, "t1", test_upstream.NAMES)
    assert notice == expected
