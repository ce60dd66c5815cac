"""Unpacks the one file into memory and runs it in this very process.

Extension modules can't be loaded out of an archive. The folder is that of
``SEQUOIACHUTE_UNPACK``, by default one of the user's own in the folder for
temporary files. Nothing is started or executed anew.
"""

import os
import shutil
import stat
import sys
import tempfile
import zipfile

BUILD_ID_FILE = "build-id"
PACKAGES = "packages/"


def unpack_root() -> str:
    """Return the folder to unpack into; only this user may write there."""
    default = os.path.join(tempfile.gettempdir(), f"sequoiachute-{os.getuid()}")
    root = os.environ.get("SEQUOIACHUTE_UNPACK", default)
    os.makedirs(root, mode=0o700, exist_ok=True)
    status = os.lstat(root)
    writable = stat.S_IWGRP | stat.S_IWOTH
    safe = stat.S_ISDIR(status.st_mode) and status.st_uid == os.getuid()
    if not safe or status.st_mode & writable:
        sys.exit(
            f"sequoiachute: error: {root} is not a folder that only this user may "
            "write; set SEQUOIACHUTE_UNPACK to one"
        )
    return root


def unpack(archive: str) -> str:
    """Return the folder that holds the unpacked packages."""
    root = unpack_root()
    with zipfile.ZipFile(archive) as packed:
        build_id = packed.read(BUILD_ID_FILE).decode()
        target = os.path.join(root, build_id)
        if not os.path.isdir(target):
            scratch = tempfile.mkdtemp(dir=root)
            names = [name for name in packed.namelist() if name.startswith(PACKAGES)]
            packed.extractall(scratch, names)
            try:
                os.rename(scratch, target)
            except OSError:  # another process was first
                shutil.rmtree(scratch)
    return os.path.join(target, PACKAGES.rstrip("/"))


def main() -> None:
    """Run the program."""
    sys.path[0] = unpack(sys.path[0])
    from sequoiachute.__main__ import run

    run()


main()
