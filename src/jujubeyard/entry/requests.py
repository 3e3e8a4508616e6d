"""Reads callers' HTTP requests."""

import dataclasses

from aiohttp import web
import result

from jujubeyard import codes
from jujubeyard.manifest import tables as config_tables

DEADLINE_HEADER = "X-Deadline-Ms"
MAX_KEY_CHARACTERS = 1024
MAX_DEADLINE_MS = 600_000.0
HTTP_REPEATABLE = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
"""Methods that HTTP defines as idempotent: clients on the way may repeat
them, so that no non-repeatable kind may use them."""


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A caller's request, as routing needs it.

    Attributes:
        service: The service.
        kind: The kind of call.
        key: The key, or an empty string.
        member: Who is billed.
        request_id: The request id, or an empty string.
        budget_ms: Milliseconds until the deadline.
        path: HTTP path and query towards the target.
    """

    service: config_tables.ServiceRow
    kind: config_tables.KindRow
    key: str
    member: str
    request_id: str
    budget_ms: float
    path: str


def parse_request(
    req: web.BaseRequest, config: config_tables.Config
) -> result.Result[ParsedRequest, codes.ResultCode]:
    """Finds service, kind, key and the rest of a request.

    Returns:
        Ok with the parsed request, or Err with the reason to refuse it.
    """
    name, _, rest = req.path.lstrip("/").partition("/")
    service = config.services.get(name)
    if service is None:
        return result.Err(codes.ResultCode.UNKNOWN_SERVICE)
    segments = rest.split("/") if rest else []
    found = {
        what: _locate(req, segments, service.find[what])
        for what in ("key", "member", "kind", "request_id")
    }
    if max(len(value) for value in found.values()) > MAX_KEY_CHARACTERS:
        return result.Err(codes.ResultCode.BAD_REQUEST)
    kind = service.kinds.get(found["kind"])
    if kind is None:
        return result.Err(codes.ResultCode.UNKNOWN_KIND)
    refusal = _check(req, service, kind, found)
    if refusal is not None:
        return result.Err(refusal)
    budget = _read_budget(req, kind)
    if budget.is_err():
        return budget
    path = req.rel_url.raw_path.removeprefix(f"/{name}") or "/"
    if req.query_string:
        path += "?" + req.rel_url.raw_query_string
    parsed = ParsedRequest(
        service,
        kind,
        found["key"],
        found["member"],
        found["request_id"],
        budget.ok_value,
        path,
    )
    return result.Ok(parsed)


def _locate(req: web.BaseRequest, segments: list[str], locator: str) -> str:
    where, _, name = locator.partition(":")
    if where == "header":
        return req.headers.get(name, "")
    if where == "query":
        return req.query.get(name, "")
    index = int(name)
    return segments[index] if index < len(segments) else ""


def _check(req, service, kind, found) -> codes.ResultCode | None:
    if service.keyed and not found["key"]:
        return codes.ResultCode.MISSING_KEY
    if kind.idempotent:
        return None
    if not found["request_id"]:
        return codes.ResultCode.MISSING_REQUEST_ID
    if req.method in HTTP_REPEATABLE:
        return codes.ResultCode.BAD_REQUEST
    return None


def _read_budget(
    req: web.BaseRequest, kind: config_tables.KindRow
) -> result.Result[float, codes.ResultCode]:
    text = req.headers.get(DEADLINE_HEADER)
    if text is None:
        return result.Ok(float(kind.deadline_ms))
    try:
        budget = float(text)
    except ValueError:
        return result.Err(codes.ResultCode.BAD_REQUEST)
    if not budget <= MAX_DEADLINE_MS:
        return result.Err(codes.ResultCode.BAD_REQUEST)
    if budget <= 0:
        return result.Err(codes.ResultCode.DEADLINE_PAST)
    return result.Ok(budget)
