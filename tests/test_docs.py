import ast
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
CODE = ("benchmarks", "deploy", "onefile", "soak", "src", "standins", "tests")
PAGES = [
    *(ROOT / name for name in ("README.md", "CONTRIBUTING.md", "KNOWN-RED.txt")),
    *sorted(DOCS.rglob("*.md")),
]
CLASS_PAGES = [
    *(DOCS / f"{name}.md" for name in ("ARCHITECTURE", "PROOFS", "GLOSSARY")),
    *sorted((DOCS / "design").glob("*.md")),
]
DEFINITIONS = (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)
OUTSIDE = {"False"}  # words of Python itself, no classes of ours


@cache
def read_code():
    """Return the names that each Python file defines, by its path."""
    code = {}
    for path in (path for name in CODE for path in (ROOT / name).rglob("*.py")):
        nodes = ast.walk(ast.parse(path.read_text()))
        names = {node.name for node in nodes if isinstance(node, DEFINITIONS)}
        code[f"/{path.relative_to(ROOT)}"] = names
    return code


def defined_in(file):
    return set().union(*(n for path, n in read_code().items() if path.endswith(file)))


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_files_that_a_page_names_exist(page):
    names = set(re.findall(r"\w[\w./]*\.py\b", page.read_text()))
    paths = tuple(read_code())
    missing = {n for n in names if not any(p.endswith(f"/{n}") for p in paths)}
    assert not missing


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_tests_that_a_page_names_exist(page):
    named = re.findall(r"(?:(\w+\.py)::)?\b(test_\w+)\b(?!\.py)", page.read_text())
    assert not {(f, n) for f, n in named if n not in defined_in(f and f"/{f}")}


@pytest.mark.parametrize("page", CLASS_PAGES, ids=lambda page: page.name)
def test_classes_that_a_page_names_are_defined(page):
    code = " ".join(re.findall(r"`([^`\n]+)`", page.read_text()))
    # A name with a hyphen beside it is an HTTP header, such as `Retry-After`.
    names = set(re.findall(r"(?<![\w-])[A-Z][a-z]\w*(?![\w-])", code))
    assert not names - defined_in("") - OUTSIDE
