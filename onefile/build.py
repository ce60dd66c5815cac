"""Builds the single-file executable: a Python zip archive with every dependency.

``python onefile/build.py dist/sequoiachute``
"""

import hashlib
import shutil
import subprocess
import sys
import tempfile
import zipapp
from pathlib import Path

PROJECT = Path(__file__).resolve().parent.parent
INTERPRETER = f"/usr/bin/env python{sys.version_info.major}.{sys.version_info.minor}"


def install(target: Path) -> None:
    """Install the locked dependencies and the project into ``target``."""
    pip = [sys.executable, "-m", "pip", "install", "--quiet", "--no-compile"]
    pip += ["--no-deps", "--target", str(target)]
    lock = PROJECT / "requirements" / "lock-runtime.txt"
    subprocess.run([*pip, "--requirement", str(lock)], check=True)
    subprocess.run([*pip, "--no-build-isolation", str(PROJECT)], check=True)


def digest(folder: Path) -> str:
    """Return a hex digest of the paths and contents of the files in ``folder``."""
    sha256 = hashlib.sha256()
    for path in sorted(folder.rglob("*")):
        if path.is_file():
            sha256.update(str(path.relative_to(folder)).encode() + b"\0")
            sha256.update(path.read_bytes())
    return sha256.hexdigest()[:32]


def build(output: Path) -> None:
    """Build the executable and write it to ``output``."""
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="sequoiachute-build-") as name:
        folder = Path(name)
        install(folder / "packages")
        (folder / "build-id").write_text(digest(folder), encoding="utf-8")
        shutil.copy(PROJECT / "onefile" / "bootstrap.py", folder / "__main__.py")
        zipapp.create_archive(folder, output, INTERPRETER, compressed=True)


if __name__ == "__main__":
    build(Path(sys.argv[1]))
