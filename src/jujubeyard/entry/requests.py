"""Parses and validates callers' HTTP requests."""

import dataclasses

from aiohttp import web
import result

from jujubeyard import codes
from jujubeyard.manifest import tables as config_tables

DEADLINE_HEADER = "X-Deadline-Ms"
MAX_KEY_CHARACTERS = 1024
MAX_DEADLINE_MS = 600_000.0
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
"""Methods that HTTP defines as idempotent. Intermediaries may repeat such
requests, so calls of a kind that is not idempotent must not use them."""


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedRequest:
    """The fields of a caller's request that routing uses.

    Attributes:
        service: The service called.
        kind: The kind of call.
        key: The routing key, or an empty string.
        member: The member billed for the call.
        request_id: The request ID, or an empty string.
        timeout_ms: Milliseconds until the deadline.
        path: HTTP path and query string of the request to the target.
    """

    service: config_tables.ServiceRow
    kind: config_tables.KindRow
    key: str
    member: str
    request_id: str
    timeout_ms: float
    path: str


def parse_request(
    req: web.BaseRequest, config: config_tables.Config
) -> result.Result[ParsedRequest, codes.ResultCode]:
    """Parses a request and validates it against the configuration.

    Returns:
        Ok with the parsed request, or Err with the code of the refusal.
    """
    service_name, _, rest = req.path.lstrip("/").partition("/")
    service = config.services.get(service_name)
    if service is None:
        return result.Err(codes.ResultCode.UNKNOWN_SERVICE)
    path_segments = rest.split("/") if rest else []
    fields = {
        field: _read_field(req, path_segments, service.find[field])
        for field in ("key", "member", "kind", "request_id")
    }
    if max(len(value) for value in fields.values()) > MAX_KEY_CHARACTERS:
        return result.Err(codes.ResultCode.BAD_REQUEST)
    kind = service.kinds.get(fields["kind"])
    if kind is None:
        return result.Err(codes.ResultCode.UNKNOWN_KIND)
    refusal = _validate_fields(req, service, kind, fields)
    if refusal is not None:
        return result.Err(refusal)
    timeout = _read_timeout(req, kind)
    if timeout.is_err():
        return timeout
    path = req.rel_url.raw_path.removeprefix(f"/{service_name}") or "/"
    if req.query_string:
        path += "?" + req.rel_url.raw_query_string
    parsed = ParsedRequest(
        service,
        kind,
        fields["key"],
        fields["member"],
        fields["request_id"],
        timeout.ok_value,
        path,
    )
    return result.Ok(parsed)


def _read_field(
    req: web.BaseRequest, path_segments: list[str], locator: str
) -> str:
    source, _, name = locator.partition(":")
    if source == "header":
        return req.headers.get(name, "")
    if source == "query":
        return req.query.get(name, "")
    index = int(name)
    return path_segments[index] if index < len(path_segments) else ""


def _validate_fields(req, service, kind, fields) -> codes.ResultCode | None:
    if service.keyed and not fields["key"]:
        return codes.ResultCode.MISSING_KEY
    if kind.idempotent:
        return None
    if not fields["request_id"]:
        return codes.ResultCode.MISSING_REQUEST_ID
    if req.method in IDEMPOTENT_METHODS:
        return codes.ResultCode.BAD_REQUEST
    return None


def _read_timeout(
    req: web.BaseRequest, kind: config_tables.KindRow
) -> result.Result[float, codes.ResultCode]:
    text = req.headers.get(DEADLINE_HEADER)
    if text is None:
        return result.Ok(float(kind.deadline_ms))
    try:
        timeout = float(text)
    except ValueError:
        return result.Err(codes.ResultCode.BAD_REQUEST)
    if not timeout <= MAX_DEADLINE_MS:
        return result.Err(codes.ResultCode.BAD_REQUEST)
    if timeout <= 0:
        return result.Err(codes.ResultCode.DEADLINE_PAST)
    return result.Ok(timeout)
