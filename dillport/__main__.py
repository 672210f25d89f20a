"""`python -m dillport`: the command line. Without words it starts one node, as the platform asks."""

from __future__ import annotations

import sys

from dillport.cli import main

if __name__ == "__main__":
    sys.exit(main())
