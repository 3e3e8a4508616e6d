"""Addresses of the form "ip:port"."""

import ipaddress

MAX_PORT = 65535


def split(address: str) -> tuple[str, int]:
    """Splits "ip:port".

    Raises:
        ValueError: The host is no IP number or the port is out of range.
    """
    host, _, port_text = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port} is not in 1 to {MAX_PORT}")
    return host.strip("[]"), port
