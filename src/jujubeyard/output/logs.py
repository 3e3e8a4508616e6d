"""JSON logs of changes of state."""

import logging
import typing

from pythonjsonlogger import json as json_logs

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
PACKAGE = "jujubeyard"
"""Modules that know no process log under this name."""


def make_logger(process: str, stream: typing.TextIO) -> logging.Logger:
    """Returns the logger of a process.

    Args:
        process: Its name in each line.
        stream: Where lines go.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(json_logs.JsonFormatter(LOG_FORMAT))
    for name in (PACKAGE, process):
        logger = logging.getLogger(name)
        logger.handlers = [handler]
        logger.setLevel(logging.INFO)
        logger.propagate = False
    return logger
