"""Formats and writes the results of benchmarks."""

import json
import pathlib
import statistics


def format_range(values: list[float], spec: str = ".3g") -> str:
    """Formats values as their median with the minimum and maximum in brackets.

    Args:
        values: Values to summarize.
        spec: Format specification of each number.
    """
    median = statistics.median(values)
    return f"{median:{spec}} ({min(values):{spec}} to {max(values):{spec}})"


def write_json(out: str, document: object) -> None:
    """Writes a document as JSON, creating parent directories.

    Args:
        out: Path of the file.
        document: Document to serialize.
    """
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1), encoding="utf-8")
