#!/usr/bin/python3
"""Runs clang-tidy on the given files, in parallel.

A file is skipped if it passed before with the same preprocessed text, checks
and clang-tidy version, because the result would be the same. The hashes of
passed inputs are stored in MARIGOLD_TIDY_CACHE (default
~/.cache/marigold-tidy). Fails if there is a finding in any file or a file
cannot be preprocessed.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get("MARIGOLD_TIDY_CACHE",
                                    pathlib.Path.home() / ".cache/marigold-tidy"))
EXTRA = "--extra-arg=-Wno-unknown-warning-option"


def compile_commands():
    """Returns the compile command of each file of the build, by path."""
    entries = json.loads((ROOT / "build/compile_commands.json").read_text())
    return {str(pathlib.Path(e["directory"], e["file"]).resolve()): e for e in entries}


def preprocessed(entry):
    """Returns the preprocessed text: with comments, without line markers."""
    words = shlex.split(entry["command"])
    words = words[1:] if "ccache" in words[0] else words
    keep, skip = [], False
    for word in words[1:]:
        if skip or word in ("-o", "-MF", "-MT"):
            skip = not skip
            continue
        if word not in ("-c", "-MD"):
            keep.append(word)
    run = subprocess.run([words[0], "-E", "-P", "-C", *keep], cwd=entry["directory"],
                         capture_output=True, check=True)
    return run.stdout


def check(path, entry, key_prefix):
    """Returns the output of clang-tidy for one file; empty if it passed."""
    text = preprocessed(entry).replace(str(ROOT).encode(), b"")
    passed_marker = CACHE / hashlib.sha256(
        key_prefix + path.encode() + text).hexdigest()
    if passed_marker.exists():
        return ""
    run = subprocess.run(["clang-tidy", "-p", "build", "--quiet", EXTRA, path],
                         cwd=ROOT, capture_output=True, text=True)
    if run.returncode != 0:
        return run.stdout or run.stderr
    passed_marker.touch()
    return ""


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True,
                             check=True).stdout
    key_prefix = version + (ROOT / ".clang-tidy").read_bytes()
    commands = compile_commands()
    failed = False
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        jobs = []
        for path in sys.argv[1:]:
            entry = commands.get(str((ROOT / path).resolve()))
            if entry is None:
                sys.exit(f"tidy: {path} is not in build/compile_commands.json")
            jobs.append(pool.submit(check, path, entry, key_prefix))
        for job in jobs:
            if output := job.result():
                failed = True
                print(output, flush=True)
    sys.exit(1 if failed else 0)


main()
