"""Loading of local document files."""

from __future__ import annotations

from pathlib import Path

from result import Err
from result import Ok
from result import Result

from carawaystep.console.local_document import LocalDocument
from carawaystep.document.document_loader import load_document
from carawaystep.document.document_loader import MAX_DOCUMENT_BYTES
from carawaystep.validation.problem import Problem
from carawaystep.validation.text_file import read_text_file


def load_local_documents(
    path_arguments: list[str],
) -> Result[tuple[LocalDocument, ...], tuple[Problem, ...]]:
    """Load document files and the .yaml files of directories.

    :param path_arguments: paths of files and directories as given on the
        command line
    :returns: all documents, or the problems of all files
    """
    documents: dict[str, LocalDocument] = {}
    problems: list[Problem] = []
    for path in _expand_paths(path_arguments, problems):
        loaded = _load(path)
        if isinstance(loaded, Err):
            problems += loaded.err_value
            continue
        document = loaded.ok_value
        first = documents.setdefault(document.service, document)
        if first is not document:
            detail = (
                f'service "{document.service}" is also in {first.path}; '
                "keep one of the files"
            )
            problems.append(Problem(str(path), 1, 1, detail))
    return Err(tuple(problems)) if problems else Ok(tuple(documents.values()))


def _expand_paths(
    path_arguments: list[str], problems: list[Problem]
) -> list[Path]:
    # A file is loaded once, even if its directory is listed too.
    paths: dict[Path, Path] = {}
    for name in path_arguments:
        path = Path(name)
        found = sorted(path.glob("*.yaml")) if path.is_dir() else [path]
        if not found:
            detail = "the directory has no .yaml files; check the path"
            problems.append(Problem(name, 1, 1, detail))
        for file in found:
            paths.setdefault(file.resolve(), file)
    return list(paths.values())


def _load(path: Path) -> Result[LocalDocument, tuple[Problem, ...]]:
    text = read_text_file(path, MAX_DOCUMENT_BYTES)
    if isinstance(text, Err):
        return text
    loaded = load_document(text.ok_value, str(path), 0)
    return loaded.map(lambda spec: LocalDocument(path, text.ok_value, spec))
