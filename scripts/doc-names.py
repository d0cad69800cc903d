#!/usr/bin/env python3
"""Fails where a page names code that is not there: a path in backticks, or a function written as `name()`.

    scripts/doc-names.py            the pages that newcomers read first
    scripts/doc-names.py PAGE...    these pages; with --words also every `snake_case` or `CamelCase` word in backticks
"""
import pathlib, re, subprocess, sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
FIRST_PAGES = ["README.md", "DEVELOPERS.md", "docs/architecture.md", "docs/glossary.md", "docs/design/system.md",
               "docs/design/control-safety.md"]
SOURCES = [".rs", ".toml", ".sh", ".py", ".md"]
PATH = re.compile(r"^[\w.-]+(?:/[\w.-]+)+/?$")
CALL = re.compile(r"^(?:\w+::)*(\w+)\(\)$")
WORD = re.compile(r"^(?:\w+::)*([a-z]\w*_\w+|[A-Z]\w*[a-z]\w*)$")


def expand(text):
    """`a/{b,c}.rs` as `a/b.rs` and `a/c.rs`."""
    found = re.match(r"^(.*)\{([^{}]*)\}(.*)$", text)
    if not found:
        return [text]
    return [whole for part in found[2].split(",") for whole in expand(found[1] + part + found[3])]


def variant(name):
    """The variant of an enum that is shown as this name, as `no_way_back` shows `NoWayBack`."""
    return "".join(part.capitalize() for part in name.split("_"))


def missing(page, files, code, words):
    for quoted in re.findall(r"`([^`\n]+)`", (ROOT / page).read_text()):
        for text in expand(quoted):
            if PATH.match(text) and "." in text.rsplit("/", 1)[-1] + "." and text.split("/")[0] in TOP:
                if not (ROOT / text).exists():
                    yield text
            elif (call := CALL.match(text)) and not re.search(rf"\bfn {call[1]}\b", code):
                yield text
            elif words and (word := WORD.match(text)) and not any(
                    re.search(rf"\b{name}\b", code) for name in (word[1], variant(word[1]))):
                yield text


def main():
    arguments = [a for a in sys.argv[1:] if a != "--words"]
    pages = arguments or [page for page in FIRST_PAGES if (ROOT / page).exists()]
    files = subprocess.check_output(["git", "ls-files"], cwd=ROOT, text=True).splitlines()
    global TOP
    TOP = {file.split("/")[0] for file in files if "/" in file}
    code = "\n".join((ROOT / f).read_text(errors="replace") for f in files
                     if not f.startswith(("journal/", "docs/")) and f.endswith((".rs", ".toml", ".sh", ".py")) and (ROOT / f).is_file())
    found = [(page, name) for page in pages for name in missing(page, files, code, "--words" in sys.argv)]
    for page, name in found:
        print(f"{page}: {name} is not in the code", file=sys.stderr)
    print(f"doc-names: {len(pages)} pages, {len(found)} names that are not in the code")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
