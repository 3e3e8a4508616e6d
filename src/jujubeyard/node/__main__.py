"""Entry point of jujubeyard-node."""

import signal
import sys

# The platform may send SIGHUP to request a reload before the slow imports
# below are done; the default action would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from jujubeyard.node import core  # noqa: E402


def main() -> int:
    """Runs the program and returns its exit status."""
    return int(core.main())


if __name__ == "__main__":
    sys.exit(main())
