"""Strict reading of YAML files: settings and catalogues."""

from pathlib import Path
from typing import Any

import yaml

MAX_FILE_BYTES = 1024 * 1024


class YamlFileError(ValueError):
    """A file can't be read as a YAML mapping.

    Parameters
    ----------
    reason : str
        The fault and its line; never quotes the file, which may hold keys.
    remedy : str
        How to correct it.
    """

    def __init__(self, reason: str, remedy: str) -> None:
        super().__init__(f"{reason}; {remedy}")
        self.reason = reason
        self.remedy = remedy


class _StrictLoader(yaml.SafeLoader):
    """Rejects duplicate and non-string keys of a mapping."""

    def construct_mapping(self, node: Any, deep: bool = False) -> dict[Any, Any]:
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, str):
                line = key_node.start_mark.line + 1
                raise YamlFileError(
                    f"line {line}: a key that is not a string", "quote it"
                )
            if key in seen:
                line = key_node.start_mark.line + 1
                raise YamlFileError(f"line {line}: duplicate key", "remove one")
            seen.add(key)
        return super().construct_mapping(node, deep)


def read_yaml_mapping(path: str) -> dict[str, Any]:
    """Return the mapping in the file ``path``.

    Raises
    ------
    YamlFileError
        If the file can't be read, is larger than ``MAX_FILE_BYTES`` or isn't a
        mapping.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        reason = error.strerror or "can't be read"
        raise YamlFileError(reason, "use a readable file") from error
    if len(data) > MAX_FILE_BYTES:
        raise YamlFileError(f"larger than {MAX_FILE_BYTES} bytes", "shorten it")
    try:
        loaded = yaml.load(data.decode("utf-8"), _StrictLoader)
    except UnicodeDecodeError as error:
        raise YamlFileError("not in UTF-8", "save it as UTF-8") from error
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        where = f"line {mark.line + 1}" if mark else "the file"
        raise YamlFileError(f"{where} is not valid YAML", "correct the line") from error
    except yaml.YAMLError as error:
        raise YamlFileError("the file is not valid YAML", "write valid YAML") from error
    if not isinstance(loaded, dict):
        raise YamlFileError("not a mapping", "write key: value lines")
    return loaded
