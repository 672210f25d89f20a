"""The README's example runs as printed."""

from __future__ import annotations

import contextlib
import io
import re
from pathlib import Path


def test_readme_example() -> None:
    text = (Path(__file__).parents[1] / "README.md").read_text(encoding="utf-8")
    code = re.findall(r"```python\n(.*?)```", text, re.S)
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(code[0], {})
    assert out.getvalue().strip() == "Send r1" and "`Send r1`" in text
