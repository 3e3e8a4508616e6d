"""What benchmarks do with their figures."""

import json
import pathlib
import statistics


def spread(values: list[float], style: str = ".3g") -> str:
    """Returns the median and, in brackets, the lowest and highest value.

    Args:
        values: The values.
        style: How a value is shown, as a format specification.
    """
    middle = statistics.median(values)
    return f"{middle:{style}} ({min(values):{style}} to {max(values):{style}})"


def write_json(out: str, document: object) -> None:
    """Writes a document, and makes its directory.

    Args:
        out: Path of the file.
        document: What to write.
    """
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1), encoding="utf-8")
