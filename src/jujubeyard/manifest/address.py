"""Parses addresses of the form "ip:port"."""

import ipaddress

MAX_PORT = 65535


def split(address: str) -> tuple[str, int]:
    """Splits an address into host and port.

    Args:
        address: "ip:port"; an IPv6 address may be in square brackets.

    Returns:
        The IP address without brackets and the port.

    Raises:
        ValueError: The host is not an IP address, or the port is not a number
            or is out of range.
    """
    host, _, port_text = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port} is not between 1 and {MAX_PORT}")
    return host.strip("[]"), port
