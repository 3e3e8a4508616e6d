"""Sets up JSON logs."""

import logging
import typing

from pythonjsonlogger import json as json_logs

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
PACKAGE_LOGGER = "jujubeyard"
"""Logger of modules that have no access to the logger of the process."""


def make_logger(process: str, stream: typing.TextIO) -> logging.Logger:
    """Configures and returns the logger of a process.

    The package logger gets the same handler.

    Args:
        process: Name of the process, which is also the name of its logger.
        stream: Stream to write log lines to.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(json_logs.JsonFormatter(LOG_FORMAT))
    for name in (PACKAGE_LOGGER, process):
        logger = logging.getLogger(name)
        logger.handlers = [handler]
        logger.setLevel(logging.INFO)
        logger.propagate = False
    return logger
