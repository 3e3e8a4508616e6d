"""Ports and last octets of the loopback addresses of a local cluster."""

STORE_PORT = 7001
GATE_PORT = 7002
CONTROLLER_PORT = 7003
ADMIN_PORTS = {"entry": 7011, "gate": 7012, "controller": 7013}
ENTRY_PORT = 8080
TARGET_PORT = 9000
FIRST_VM_OCTET = 10
FIRST_TARGET_OCTET = 100
