#!/usr/bin/env python3
"""Runs clang-tidy on sources; with a cache, only on those that differ from those that passed before.

A source counts as the same if its preprocessed text with comments, its compile command, the
configuration and the version of clang-tidy are the same. Findings are never stored.
"""

import argparse
import concurrent.futures
import hashlib
import json
import pathlib
import shlex
import subprocess
import sys

CLANG_TIDY = ["clang-tidy", "--quiet", "--extra-arg=-Wno-unknown-warning-option"]


def preprocess_command(entry):
    """The compile command that prints the source with its headers, comments, macros and includes."""
    words = shlex.split(entry["command"])
    if pathlib.Path(words[0]).name == "ccache":
        words = words[1:]
    output = words.index("-o")
    del words[output : output + 2]
    words.remove("-c")
    return words + ["-w", "-E", "-C", "-dD", "-dI"]


def key_of(entry, root, tool):
    command = preprocess_command(entry)
    text = subprocess.run(command, cwd=entry["directory"], check=True, capture_output=True).stdout
    digest = hashlib.sha256(tool)
    digest.update(" ".join(command).replace(root, "").encode())
    digest.update(text.replace(root.encode(), b""))
    return digest.hexdigest()


def lint(name, entry, options, tool):
    """Returns what clang-tidy prints, and whether it accepts the source."""
    has_key = options.cache and entry
    passed = options.cache / key_of(entry, str(options.root), tool) if has_key else None
    if passed and passed.exists():
        return "", True
    result = subprocess.run(CLANG_TIDY + ["-p", options.build, name], cwd=options.root,
                            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    if passed and result.returncode == 0:
        passed.touch()
    return result.stdout, result.returncode == 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--cache", type=pathlib.Path, help="folder of the sources that passed")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("files", nargs="+")
    options = parser.parse_args()
    options.root = pathlib.Path.cwd()
    if options.cache:
        options.cache.mkdir(parents=True, exist_ok=True)

    tool = subprocess.run(["clang-tidy", "--version"], check=True, capture_output=True).stdout
    tool += pathlib.Path(".clang-tidy").read_bytes()
    commands = pathlib.Path(options.build, "compile_commands.json").read_text()
    entries = {entry["file"]: entry for entry in json.loads(commands)}

    def lint_file(name):
        return lint(name, entries.get(str(options.root / name)), options, tool)

    has_passed = True
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for text, passed in pool.map(lint_file, options.files):
            print(text, end="", flush=True)
            has_passed = has_passed and passed
    return 0 if has_passed else 1


if __name__ == "__main__":
    sys.exit(main())
