"""Authenticates the processes of a cluster to each other."""

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
    """The identity of a process.

    Attributes:
        cluster: Name of the cluster.
        role: entry, gate, controller or operator.
        vm: Name of the VM.
        incarnation: Identifies one run of the process.
        secret: Key of the signatures, shared by all processes of the cluster.
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
        identity: The sender's identity.
        challenge: The nonce of the peer's Hello; empty in the first Hello of
            a handshake.
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
    hello.mac = _compute_mac(hello, identity.secret, challenge)
    return hello


def verify_hello(
    hello: messages.Message, identity: Identity, challenge: str
) -> None:
    """Verifies the cluster and the signature of a peer's Hello.

    Args:
        hello: The peer's first message.
        identity: The identity of this process.
        challenge: The nonce that this process sent to the peer.

    Raises:
        errors.LinkError: The message is not a Hello, the peer belongs to
            another cluster or the signature is invalid.
    """
    if not isinstance(hello, messages.Hello):
        raise _make_identity_error("first message is not a Hello")
    if hello.cluster != identity.cluster:
        raise _make_identity_error(
            f"peer belongs to another cluster: {hello.cluster!r}"
        )
    expected = _compute_mac(hello, identity.secret, challenge)
    if not hmac.compare_digest(expected, hello.mac):
        raise _make_identity_error("signature of the peer's Hello is invalid")


def _compute_mac(hello: messages.Hello, secret: bytes, challenge: str) -> bytes:
    fields = (
        hello.cluster,
        hello.role,
        hello.vm,
        hello.incarnation,
        hello.nonce,
        challenge,
    )
    return hmac.digest(secret, "\0".join(fields).encode(), hashlib.sha256)


def _make_identity_error(reason: str) -> errors.LinkError:
    return errors.LinkError(codes.ResultCode.LINK_BAD_IDENTITY, reason)
