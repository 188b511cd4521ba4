"""Builds ``dist/burdockhitch``, the program and its libraries in one file.

The file is a zip archive that runs as one process with the machine's Python. Its
first start unpacks it to the folder that ``SHIV_ROOT`` names; on a VM without a
disk, that folder is in memory.
"""

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).parent.parent
TARGET = ROOT / "dist" / "burdockhitch"
EXCLUDED_FOLDERS = ("tests",)
DEVELOPMENT_PACKAGES = frozenset(
    {"pytest", "hypothesis", "ruff", "mypy", "shiv", "pip"}
)


def runtime_requirements(text: str) -> list[str]:
    """Return the pinned requirements of a lock file that the program needs to run."""
    lines = [line.strip() for line in text.splitlines() if "==" in line]
    return [
        line for line in lines if line.partition("==")[0] not in DEVELOPMENT_PACKAGES
    ]


def main() -> None:
    """Install the libraries and copy the package into a folder, and archive it."""
    TARGET.parent.mkdir(exist_ok=True)
    requirements = runtime_requirements((ROOT / "requirements.lock").read_text())
    with tempfile.TemporaryDirectory() as folder:
        site = Path(folder) / "site"
        install = [sys.executable, "-m", "pip", "install", "--quiet", "--no-deps"]
        subprocess.run([*install, "--target", str(site), *requirements], check=True)
        shutil.copytree(
            ROOT / "burdockhitch",
            site / "burdockhitch",
            ignore=shutil.ignore_patterns(*EXCLUDED_FOLDERS, "__pycache__"),
        )
        shiv = [sys.executable, "-m", "shiv", "--site-packages", str(site)]
        entry_point = ["--entry-point", "burdockhitch.__main__:run"]
        interpreter = ["--python", "/usr/bin/env python3"]
        output = ["--output-file", str(TARGET), "--compressed"]
        subprocess.run([*shiv, *entry_point, *interpreter, *output], check=True)
    sys.stdout.write(f"{TARGET} {TARGET.stat().st_size / 1024 / 1024:.1f} MB\n")


if __name__ == "__main__":
    main()
