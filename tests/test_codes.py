"""Tests the result codes and their table in the docs."""

import pathlib
import re

from jujubeyard import codes

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "result-codes.md"
ROW = re.compile(r"^\| (\d+) \| `(\w+)` \| (\d+) \| (yes|no) \| (.*) \|$")


def test_docs_page_matches_the_code_table():
    documented = [
        match.groups()
        for match in map(ROW.match, PAGE.read_text().splitlines())
        if match
    ]
    expected = [
        (
            str(int(code)),
            code.name.lower(),
            str(info.http_status),
            "yes" if info.not_run else "no",
            info.summary,
        )
        for code, info in codes.CODE_INFO.items()
    ]
    assert documented == expected


def test_every_code_has_an_entry():
    assert set(codes.CODE_INFO) == set(codes.ResultCode)


def test_reroutable_codes_guarantee_that_the_call_did_not_run():
    assert all(codes.CODE_INFO[code].not_run for code in codes.REROUTABLE)
