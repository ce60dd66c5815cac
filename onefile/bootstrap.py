"""Unpacks the single-file executable and runs it in the same process.

Extension modules can't be imported from an archive, so the packages are unpacked
into the folder ``SEQUOIACHUTE_UNPACK``, by default a folder per user among the
temporary files. No child process is started and the interpreter isn't executed
again.
"""

import os
import shutil
import stat
import sys
import tempfile
import zipfile

BUILD_ID_FILE = "build-id"
PACKAGES_PREFIX = "packages/"


def unpack_root() -> str:
    """Return the folder to unpack into, which only this user may write.

    Exits if another user owns or may write it, since its code is executed.
    """
    default = os.path.join(tempfile.gettempdir(), f"sequoiachute-{os.getuid()}")
    root = os.environ.get("SEQUOIACHUTE_UNPACK", default)
    os.makedirs(root, mode=0o700, exist_ok=True)
    status = os.lstat(root)
    others_may_write = stat.S_IWGRP | stat.S_IWOTH
    is_own_folder = stat.S_ISDIR(status.st_mode) and status.st_uid == os.getuid()
    if not is_own_folder or status.st_mode & others_may_write:
        sys.exit(
            f"sequoiachute: error: {root} is not a folder that only this user may "
            "write; set SEQUOIACHUTE_UNPACK to one"
        )
    return root


def unpack(archive: str) -> str:
    """Unpack the archive unless its build already is; return the packages' folder."""
    root = unpack_root()
    with zipfile.ZipFile(archive) as bundle:
        build_id = bundle.read(BUILD_ID_FILE).decode()
        target = os.path.join(root, build_id)
        if not os.path.isdir(target):
            scratch = tempfile.mkdtemp(dir=root)
            names = [
                name for name in bundle.namelist() if name.startswith(PACKAGES_PREFIX)
            ]
            bundle.extractall(scratch, names)
            try:
                os.rename(scratch, target)
            except OSError:  # another process unpacked the same build first
                shutil.rmtree(scratch)
    return os.path.join(target, PACKAGES_PREFIX.rstrip("/"))


def main() -> None:
    """Unpack the executable and run its command line."""
    sys.path[0] = unpack(sys.path[0])
    from sequoiachute.__main__ import run

    run()


main()
