import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parent.parent / "src" / "sequoiachute"

# Layers that each layer may import besides itself and top-level modules.
ALLOWED_IMPORTS = {
    "protocol": set(),
    "transport": {"protocol"},
    "state": {"protocol"},
    "coordination": {"protocol", "transport", "state"},
    "report": {"protocol", "state"},
    "replay": {"protocol", "transport", "state", "coordination"},
    "platform": {"protocol", "transport", "state", "coordination"},
    "http": {"protocol", "transport", "state", "coordination", "report"},
}


def imported_layers(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split(".")
            if parts[0] == "sequoiachute" and len(parts) > 1:
                yield parts[1]


@pytest.mark.parametrize("layer", ALLOWED_IMPORTS)
def test_layer_imports_only_layers_below(layer):
    packages = {path.name for path in PACKAGE.iterdir() if path.is_dir()}
    forbidden = packages - ALLOWED_IMPORTS[layer] - {layer}
    for path in (PACKAGE / layer).rglob("*.py"):
        assert not forbidden & set(imported_layers(path)), path


def test_only_entry_points_import_the_command_line():
    for path in PACKAGE.rglob("*.py"):
        if path.parent.name == "cli" or path.name in ("core.py", "__main__.py"):
            continue
        assert "cli" not in set(imported_layers(path)), path
