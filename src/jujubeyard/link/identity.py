"""Proves to a peer that a process belongs to the cluster."""

import dataclasses
import hashlib
import hmac
import secrets

from jujubeyard import codes
from jujubeyard import errors
from jujubeyard.link import messages

NONCE_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who a process is.

    Attributes:
        cluster: Name of the cluster.
        role: entry, gate, controller or operator.
        vm: Name of the VM.
        incarnation: Distinguishes restarts of the process.
        secret: Shared by all processes of the cluster.
    """

    cluster: str
    role: str
    vm: str
    incarnation: str
    secret: bytes = dataclasses.field(repr=False)

    @property
    def name(self) -> str:
        """The process's unique name, "vm/incarnation"."""
        return f"{self.vm}/{self.incarnation}"


def make_hello(identity: Identity, challenge: str) -> messages.Hello:
    """Returns a signed Hello.

    Args:
        identity: The sender.
        challenge: The peer's nonce, or an empty string in the first Hello.
    """
    nonce = secrets.token_hex(NONCE_BYTES)
    hello = messages.Hello(
        identity.cluster,
        identity.role,
        identity.vm,
        identity.incarnation,
        nonce,
        b"",
    )
    hello.mac = _sign(hello, identity.secret, challenge)
    return hello


def check_hello(
    hello: messages.Message, identity: Identity, challenge: str
) -> None:
    """Checks a peer's Hello.

    Raises:
        errors.LinkError: The message is no Hello, the cluster is another one
            or the signature is wrong.
    """
    if not isinstance(hello, messages.Hello):
        raise _bad_identity("first message is no Hello")
    if hello.cluster != identity.cluster:
        raise _bad_identity(f"peer belongs to cluster {hello.cluster!r}")
    expected = _sign(hello, identity.secret, challenge)
    if not hmac.compare_digest(expected, hello.mac):
        raise _bad_identity("peer's signature is wrong")


def _sign(hello: messages.Hello, secret: bytes, challenge: str) -> bytes:
    fields = (
        hello.cluster,
        hello.role,
        hello.vm,
        hello.incarnation,
        hello.nonce,
        challenge,
    )
    return hmac.digest(secret, "\0".join(fields).encode(), hashlib.sha256)


def _bad_identity(reason: str) -> errors.LinkError:
    return errors.LinkError(codes.ResultCode.LINK_BAD_IDENTITY, reason)
