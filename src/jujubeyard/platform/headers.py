"""HTTP header names and paths of the platform's protocol."""

from jujubeyard.node import protocol

NAMES = protocol.HeaderNames(
    call_id="Jujubeyard-Request-Id",
    deadline="Jujubeyard-Deadline-Ms",
    expected_target="Jujubeyard-Expect-Instance",
    key="Jujubeyard-Shard-Key",
    not_run="Jujubeyard-Not-Executed",
    signature="Jujubeyard-Response-Signature",
    load="Jujubeyard-Instance-Load",
    target="Jujubeyard-Instance-Id",
    handover="Jujubeyard-Handover",
    leaving="Server-Leaving",
    pause="Retry-After",
    cold="Jujubeyard-Cold-Start-Ms",
)

READINESS_PATH = "/readiness"
