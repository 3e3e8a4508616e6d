"""Entry point of the program."""

import signal
import sys

# The platform may ask for a reload before the slow imports are done.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from jujubeyard.node import core  # noqa: E402


def main() -> int:
    """Runs the program and returns its exit status."""
    return int(core.main())


if __name__ == "__main__":
    sys.exit(main())
