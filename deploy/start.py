"""Start one process of the system from a source checkout, without installed packages."""

import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
MEMBERS = ("packages/core", "packages/server", "platform")
sys.path[:0] = [str(ROOT / member) for member in MEMBERS]

from lagoonshelf_platform.main import main  # noqa: E402

if __name__ == "__main__":
    main()
